// Invokers load by themselves while the job waits there; a second copy of a job may run beside the first.
// Check a copy of this with `plumkeel check`; run it with `plumkeel serve`.
{
  name: 'controller-1',              // told to invokers and to the list source with the time of the start
  listen: '127.0.0.1:7400',

  // Where the invokers are known: Consul's health endpoint, or a `fixed` list in its place.
  list: { consul: '127.0.0.1:8500', service: 'invokers', wait: '30s' },

  // What the deployment forbids. A fresh invoker does cold_share of its work at first and all after cold_for;
  // in any push_span all controllers together send it less than push_multiple of what it can do then.
  rulebook: { cold_for: '16s', cold_share: 0.16, push_multiple: 2, push_span: '2s' },

  // What the deployment lets a controller do, and tells it.
  allowances: {
    controllers: 2,                  // of them all: the budgets above are shared by so many
    hops: 5,
    second_copies: true,
    keep_alive: '8300ms',            // an idle copy stays loaded for so long at least
    longest_retry_after: '2s',
  },

  // Each use case: when an answer is wanted, and what a repeat may do.
  use_cases: {
    preview: { promised: '1500ms', repeat: 'replayable' },
  },

  // Jobs a second over all controllers that are within a tenant's share.
  tenants: { first: { share_per_s: 50 }, second: { share_per_s: 40 } },

  // Limits at the door. Every field has a default; these are the ones most often set.
  door: { open_jobs: 10000, connections: 10000, body_bytes: 1048576, memory_bytes: 268435456 },

  log: { file: '/var/log/plumkeel.log', level: 'info' },
}
