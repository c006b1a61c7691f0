// Five of the fourteen invokers stop responding for 10 seconds, while Consul still lists them as healthy.
(import 'quiet.jsonnet') {
  happenings: [
    { at: '12s', kind: 'vanish', who: ['i1', 'i5', 'i9', 'i13', 'i14'], lasts: '10s' },
  ],
}
