// Six of the fourteen invokers become six times slower at 12 s and crash at 16 s.
(import 'quiet.jsonnet') {
  happenings: [
    { at: '12s', kind: 'command', who: ['i2', 'i4', 'i6', 'i8', 'i10', 'i12'], say: 'slow factor=6', 'then': 'slow factor=1', lasts: '4s' },
    { at: '16s', kind: 'crash', who: ['i2', 'i4', 'i6', 'i8', 'i10', 'i12'], notice: '3s', lasts: '8s' },
  ],
}
