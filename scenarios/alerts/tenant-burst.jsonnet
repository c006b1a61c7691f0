// One tenant sends twenty times as much.
(import 'quiet.jsonnet') {
  happenings: [
    { at: '12s', kind: 'command', who: 'clients', say: 'tenant kanto factor=20', 'then': 'tenant kanto factor=1', lasts: '10s' },
  ],
}
