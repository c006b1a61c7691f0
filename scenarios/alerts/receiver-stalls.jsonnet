// The receiver of measurements stalls for 10 s: that alone is no trouble of the service.
(import 'quiet.jsonnet') {
  happenings: [
    { at: '8s', kind: 'command', who: 'receiver', say: 'stalls', 'then': 'takes', lasts: '10s' },
  ],
}
