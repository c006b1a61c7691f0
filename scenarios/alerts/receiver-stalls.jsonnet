// The remote write receiver, which takes the metrics, stalls for 10 seconds. Requests are not affected.
(import 'quiet.jsonnet') {
  happenings: [
    { at: '8s', kind: 'command', who: 'receiver', say: 'stalls', 'then': 'takes', lasts: '10s' },
  ],
}
