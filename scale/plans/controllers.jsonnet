// How sight thins: the same 12,000 calls a second on 120 invokers, from more and more controllers.
{
  controllers: [
    { name: '120 invokers', over: 'controllers', sizes: [3, 30, 300], invokers: 120, cores: 32, run: '100ms', functions: 4000, exponent: 1.4, calls_per_s: 12000, length: '24s', runs: 2 },
  ],
}
