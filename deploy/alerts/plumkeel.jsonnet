// Alert rules of a deployment. `plumkeel alerts rules deploy/alerts/plumkeel.jsonnet > plumkeel.yml` writes the
// ordinary rule file; a deployment changes figures by importing this and adding to it:
//   (import 'plumkeel.jsonnet') { look_every: '15s', window: '2m', hold: '1m' }
{
  look_every: '1s',        // how often rules are evaluated
  window: '5s',            // over which rates are taken: at least four scrapes
  hold: '2s',              // for how long a state must last
  least_jobs_per_s: 2,     // below it shares tell nothing
  not_in_time: 0.1,        // of jobs: late, bounced or written off
  tenant_not_in_time: 0.25,
  hops_broken: 0.08,       // of hops
  invokers_doubted: 0.15,  // of those listed
  slower: 2,               // times as slow as over the quiet window
  quiet_window: '60s',
  load_seconds: 4,         // the slowest tenth of loads
  loads_unfinished_per_s: 2,
  cold_loads: 0.5,         // of honoured hops
  drain_grace_s: 30,
  park_limit: 1024,
  list_age_s: 90,
  stall_s: 0.5,
  shed: 0.1,               // of jobs taken
  again: 0.3,              // of jobs taken, that their clients had sent before
  waiting_samples: 200000,

  local it = self,
  local share(part, all) = '(%s / (%s > %g))' % [part, all, it.least_jobs_per_s],
  local rate(series, by='') = 'sum%s (rate(%s[%s]))' % [if by == '' then '' else ' by (%s)' % by, series, it.window],
  local alert(name, expr, severity, summary, todo, hold=it.hold) = {
    alert: name,
    expr: expr,
    'for': hold,
    labels: { severity: severity },
    annotations: { summary: summary, runbook: 'docs/operate/alerts.md: ' + todo },
  },

  groups: [{
    name: 'plumkeel',
    interval: it.look_every,
    rules: [
      alert('ServiceFalling',
            share(rate('plumkeel_jobs_total{outcome=~"late|bounced|written_off"}'), rate('plumkeel_jobs_total{outcome!="abandoned"}')) + ' > %g' % it.not_in_time,
            'page', 'fewer jobs are honoured in time than promised', 'service'),
      alert('TenantSuffers',
            share(rate('plumkeel_jobs_total{outcome=~"late|bounced|written_off",tenant!=""}', 'tenant'), rate('plumkeel_jobs_total{outcome!="abandoned",tenant!=""}', 'tenant'))
            + ' > %g' % it.tenant_not_in_time,
            'ticket', 'one tenant is worse off than the rest', 'tenant'),
      alert('HopsBreak',
            share(rate('plumkeel_hops_total{ending=~"cut_off|unreachable|overdue"}'), rate('plumkeel_hops_total')) + ' > %g' % it.hops_broken,
            'page', 'hops are cut off or never answered', 'hops'),
      alert('InvokersDoubted',
            'max(sum by (controller) (plumkeel_invokers{standing=~"suspect|aside"}) / sum by (controller) (plumkeel_invokers{standing=~"trusted|suspect|aside|easing"})) > %g'
            % it.invokers_doubted,
            'page', 'many invokers do not answer', 'doubted'),
      alert('InvokersSlow',
            '(sum(rate(plumkeel_hop_seconds_sum[%(window)s])) / sum(rate(plumkeel_hop_seconds_count[%(window)s]))) > %(slower)g * (sum(rate(plumkeel_hop_seconds_sum[%(quiet_window)s])) / sum(rate(plumkeel_hop_seconds_count[%(quiet_window)s])))' % it,
            'ticket', 'hops on standing copies take longer than before', 'slow'),
      alert('InvokerAgeing', 'max(plumkeel_pace_worst) > %g * max(plumkeel_pace_median)' % (it.slower * 1.5),
            'ticket', 'one invoker is far slower than its kind', 'ageing', '10s'),
      alert('ColdLoads',
            share(rate('plumkeel_copies_met_total{copy="begun"}'), rate('plumkeel_copies_met_total')) + ' > %g' % it.cold_loads,
            'ticket', 'most hops have to load first', 'cold'),
      alert('StoreTrouble',
            'histogram_quantile(0.9, sum by (le) (rate(plumkeel_load_seconds_bucket[%s]))) > %g' % [it.window, it.load_seconds]
            + ' or sum(rate(plumkeel_loads_unfinished_total[%s])) > %g' % [it.window, it.loads_unfinished_per_s],
            'ticket', 'loads take long, or break', 'store'),
      alert('DrainPastGrace', 'max(plumkeel_oldest_drain_seconds) > %g' % it.drain_grace_s,
            'ticket', 'an invoker that takes no more still has hops out', 'drain'),
      alert('ParkedNearLimit', 'max(plumkeel_parked_jobs) > %g' % (0.8 * it.park_limit),
            'page', 'a controller can park few more jobs', 'parked'),
      alert('Shedding',
            share(rate('plumkeel_given_up_total{reason=~"crowded|parked_long|none_usable|park_full"}'), rate('plumkeel_jobs_taken_total')) + ' > %g' % it.shed,
            'page', 'jobs are given up for want of room', 'shed'),
      alert('RetryStorm',
            share(rate('plumkeel_jobs_again_total'), rate('plumkeel_jobs_taken_total')) + ' > %g' % it.again,
            'page', 'clients send again and again', 'storm'),
      alert('ListStale', 'max by (controller) (plumkeel_list_age_seconds) > %g' % it.list_age_s,
            'ticket', 'the list of invokers is old', 'list'),
      alert('ControllerStalled',
            'max by (controller) (plumkeel_loop_lag_seconds) > %g' % it.stall_s,
            'page', 'a controller stood still for a while', 'stalled', '0s'),
      alert('ControllerSilent',
            'sum by (controller) (increase(plumkeel_looks_total[%s])) == 0' % it.window,
            'page', 'a controller stands still', 'stalled'),
      alert('MetricsDelayed', 'max by (controller, receiver) (plumkeel_remote_waiting_samples) > %g' % it.waiting_samples,
            'ticket', 'a receiver of measurements does not keep up', 'metrics'),
      alert('MetricsLost', 'sum by (controller) (increase(plumkeel_remote_dropped_samples_total[%s])) > 0' % it.window,
            'ticket', 'measurements were dropped for want of room', 'metrics'),
    ],
  }],
}
