// A controller stands still for a second and a half.
(import 'quiet.jsonnet') {
  happenings: [
    { at: '12s', kind: 'freeze', who: ['c2'], lasts: '1500ms' },
  ],
}
