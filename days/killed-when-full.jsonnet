// A controller is killed with hundreds of jobs open, and comes back on its port at once; the others bear its part.
(import 'bad-day.jsonnet') {
  length: '10s',
  clients+: { rate: 260, impatient: 0 },
  happenings: [
    { at: '2s', kind: 'command', who: ['i%d' % i for i in std.range(1, 12)], say: 'pause ms=2500 every=100000', 'then': 'pause ms=0 every=1000', lasts: '2500ms' },
    { at: '4200ms', kind: 'kill_controller', who: ['c1'], lasts: '50ms' },
    { at: '6s', kind: 'kill_controller', who: ['c2', 'c3'], lasts: '100ms' },
  ],
}
