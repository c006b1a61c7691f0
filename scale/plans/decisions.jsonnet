// Cost of the scheduler's decisions by number of invokers and by number of functions.
local fleets = [100, 720, 7200, 18000];
local exponents = [{ value: 1.4, name: '1.4' }, { value: 1.0, name: '1.0' }];
{
  decisions: [
    { name: 'exponent ' + it.name, over: 'invokers', sizes: fleets, exponent: it.value, length: '80s', runs: 3 }
    for it in exponents
  ] + [
    { name: '7200 invokers; exponent ' + it.name, over: 'functions', sizes: [1000, 15000, 250000], invokers: 7200, exponent: it.value, length: '40s', runs: 2 }
    for it in exponents
  ],
}
