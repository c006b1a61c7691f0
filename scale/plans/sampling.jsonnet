// What it costs to weigh a sample of a favourite's homes and not all: 24 controllers on 7,200 invokers of one core each, which are
// two thirds busy.
{
  controllers: [
    { name: '7200 invokers; two thirds busy', over: 'invokers', sizes: [7200], controllers: 24, functions: 250000, exponent: 1.4, cores: 1, instances: 20, run: '2s', load: '800ms', calls_per_s: 2400, length: '40s', runs: 3 },
  ],
}
