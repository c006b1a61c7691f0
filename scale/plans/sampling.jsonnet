// Effect of scoring only a sample of a popular function's home invokers: 24 controllers on 7,200 invokers with one core
// each, a third of which are running requests on average.
{
  controllers: [
    { name: '7200 invokers; one core each', over: 'invokers', sizes: [7200], controllers: 24, functions: 250000, exponent: 1.4, cores: 1, instances: 20, run: '1s', load: '600ms', calls_per_s: 2400, length: '24s', runs: 2 },
  ],
}
