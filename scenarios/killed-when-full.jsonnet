// All controllers are killed while hundreds of requests are open, and restart on the same ports after 50 ms. Later, one
// controller is killed again.
(import 'bad-day.jsonnet') {
  length: '10s',
  clients+: { rate: 400, retries: 0, impatient: 0 },
  happenings: [
    { at: '2s', kind: 'command', who: ['i%d' % i for i in std.range(1, 14)], say: 'pause ms=2500 every=100000', 'then': 'pause ms=0 every=1000', lasts: '2500ms' },
    { at: '4200ms', kind: 'kill_controller', who: ['c1', 'c2', 'c3'], lasts: '50ms' },
    { at: '6s', kind: 'kill_controller', who: ['c2'], lasts: '100ms' },
  ],
}
