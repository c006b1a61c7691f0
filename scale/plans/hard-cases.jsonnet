// Cost of the scheduler's decisions while endpoint lists change, with ever new functions, with a single function, and
// with many parked requests.
local case(name, disturbance, more={}) =
  { name: name, over: 'invokers', sizes: [720, 7200, 18000], length: '60s', disturbance: disturbance } + more;
{
  decisions: [
    case('each invoker restarts within a minute', 'restarts'),
    case('a zone of 27 gone and back', 'zone_outage'),
    case('the whole list told again', 'whole_list'),
    case('units of a hundredth change each second', 'units_change'),
    case('1024 parked; each for its function', 'parked_functions'),
    case('one function called by all', 'none', { functions: 1 }),
    case('250000 new names in ten minutes', 'new_names', { calls_per_s: 417, length: '10min', sizes: [7200] }),
    case('250000 new names in one minute', 'new_names', { calls_per_s: 4167, sizes: [7200] }),
  ],
}
