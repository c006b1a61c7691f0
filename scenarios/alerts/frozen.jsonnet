// A controller process is paused for 1.5 seconds.
(import 'quiet.jsonnet') {
  happenings: [
    { at: '12s', kind: 'freeze', who: ['c2'], lasts: '1500ms' },
  ],
}
