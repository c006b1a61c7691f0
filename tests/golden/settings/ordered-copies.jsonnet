// Controllers order copies, idle memory has a price, a job's hops are never out at once, and orders are rationed.
(import 'on-demand.jsonnet') {
  rulebook+: {
    push_multiple: 4, push_span: '3s',
    load_span: '5s', free_loads: 4, loads_per_job: 0.2,   // orders in any 5 s: 4 and a fifth of the jobs taken
  },
  allowances+: {
    controllers: 3, hops: 6, second_copies: false,
    order_copies: true, memory_price: 0.15, keep_alive: '8s', longest_retry_after: '1s',
  },
  use_cases: { resolve: { promised: '600ms', repeat: 'replayable' } },
  tenants: {},
}
