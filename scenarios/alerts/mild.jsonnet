// Minor faults that must not fire an alert: one invoker crashes and restarts cold, one pauses for 80 ms every
// 2 seconds, and two are replaced.
(import 'quiet.jsonnet') {
  happenings: [
    { at: '8s', kind: 'crash', who: ['i3'], notice: '1s', lasts: '5s' },
    { at: '10s', kind: 'command', who: ['i7'], say: 'pause ms=80 every=2000', 'then': 'pause ms=0 every=1000', lasts: '8s' },
    { at: '14s', kind: 'replace', who: ['i5', 'i6'], each: '2s', drain: '1500ms' },
  ],
}
