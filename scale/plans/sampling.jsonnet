// What it costs to weigh a sample of a favourite's homes and not all: 24 controllers on 7,200 invokers of one core each, of which a
// third is busy running.
{
  controllers: [
    { name: '7200 invokers; one core each', over: 'invokers', sizes: [7200], controllers: 24, functions: 250000, exponent: 1.4, cores: 1, instances: 20, run: '1s', load: '600ms', calls_per_s: 2400, length: '24s', runs: 2 },
  ],
}
