// One tenant sends requests at twenty times its usual rate for 10 seconds.
(import 'quiet.jsonnet') {
  happenings: [
    { at: '12s', kind: 'command', who: 'clients', say: 'tenant kanto factor=20', 'then': 'tenant kanto factor=1', lasts: '10s' },
  ],
}
