// The same total of 12,000 requests per second on 120 invokers, from an increasing number of controllers.
{
  controllers: [
    { name: '120 invokers', over: 'controllers', sizes: [3, 30, 300], invokers: 120, cores: 32, run: '100ms', functions: 4000, exponent: 1.4, calls_per_s: 12000, length: '24s', runs: 2 },
  ],
}
