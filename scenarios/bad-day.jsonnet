// Three controllers and fourteen invokers run requests of three classes under overlapping faults: invokers that crash
// and restart cold, an unreachable invoker, lost responses, a slow function store, a rolling replacement, a delayed
// endpoint list, a burst of one tenant, a killed controller and a paused controller.
local invoker(i) = {
  name: 'i%d' % i,
  zone: if i <= 7 then 'a' else 'b',
  cell: std.floor((i - 1) / 2),
  kind: if i % 3 == 0 then 'slow' else 'std',
  cores: 4,
  speed: if i % 3 == 0 then 0.7 else 1,
};
local use(promised, expiry) = { promised: promised, expiry: expiry, lanes: 2, memory: 400, load_ms: 500 };
{
  length: '22s',
  controllers: 3,
  drain_grace: '2s',
  invokers: [invoker(i) for i in std.range(1, 14)],
  invoker: {
    cold_share: 0.2, cold_for: '6s', push_multiple: 2, push_span: '2s',
    keep_alive: '6s', mean_work_ms: 100, queue: 24, remembers: '5s',
  },
  store: { at_once: 8, most: 40 },
  controller: {
    use_cases: {
      preview: { promised: '1.5s', repeat: 'replayable' },
      invoice: { promised: '2s', repeat: 'referenced', reach: 'zone', remembered: '5s' },
      charge: { promised: '2s', repeat: 'single_use' },
    },
    tenants: { kanto: { share_per_s: 60 }, sointu: { share_per_s: 50 }, vire: { share_per_s: 50 } },
    rulebook: { cold_for: '6s', cold_share: 0.2, push_multiple: 2, push_span: '2s' },
    allowances: { hops: 5, second_copies: true, keep_alive: '6s' },
  },
  clients: {
    rate: 150, functions: 30, zipf: 1.1, retries: 2, again_after: '150ms', impatient: 0.02, large_share: 0.02,
    use_cases: {
      preview: use('1.5s', '4s') { share: 0.6, work_ms: 100 },
      invoice: use('2s', '4s') { share: 0.2, work_ms: 120, repeat: 'referenced' },
      charge: use('2s', '4s') { share: 0.2, work_ms: 80, repeat: 'single_use' },
    },
    tenants: { kanto: { share: 0.4 }, sointu: { share: 0.3 }, vire: { share: 0.3 } },
  },
  happenings: [
    { at: '2s', kind: 'crash', who: ['i1', 'i8'], notice: '1500ms', lasts: '6s' },
    { at: '3s', kind: 'command', who: ['i2', 'i9'], say: 'cut_head share=0.2', 'then': 'cut_head share=0', lasts: '8s' },
    { at: '4s', kind: 'command', who: ['i3', 'i4'], say: 'lose share=0.3', 'then': 'lose share=0', lasts: '7s' },
    { at: '5s', kind: 'command', who: 'store', say: 'slow factor=5', 'then': 'slow factor=1', lasts: '6s' },
    { at: '6s', kind: 'vanish', who: ['i10'], lasts: '7s' },
    { at: '7s', kind: 'command', who: 'list', say: 'delay ms=2500', 'then': 'delay ms=0', lasts: '9s' },
    { at: '8s', kind: 'command', who: 'clients', say: 'tenant kanto factor=3', 'then': 'tenant kanto factor=1', lasts: '6s' },
    { at: '9s', kind: 'replace', who: ['i5', 'i6', 'i11', 'i12'], each: '1500ms', drain: '1500ms' },
    { at: '10s', kind: 'command', who: ['i13'], say: 'cut_on_arrival share=0.3', 'then': 'cut_on_arrival share=0', lasts: '5s' },
    { at: '10500ms', kind: 'command', who: ['i7'], say: 'pause ms=250 every=1500', 'then': 'pause ms=0 every=1000', lasts: '6s' },
    { at: '11s', kind: 'command', who: ['i14'], say: 'close_idle on', 'then': 'close_idle off', lasts: '6s' },
    { at: '12s', kind: 'kill_controller', who: ['c2'], lasts: '800ms' },
    { at: '14s', kind: 'freeze', who: ['c3'], lasts: '300ms' },
    { at: '16s', kind: 'command', who: ['i2'], say: 'turn_away on', 'then': 'turn_away off', lasts: '2s' },
  ],
}
