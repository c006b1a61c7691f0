// The function store becomes thirty times slower while a rolling replacement makes invokers fetch their functions again.
(import 'quiet.jsonnet') {
  happenings: [
    { at: '12s', kind: 'command', who: 'store', say: 'slow factor=30', 'then': 'slow factor=1', lasts: '10s' },
    { at: '12s', kind: 'replace', who: ['i1', 'i2', 'i3', 'i4', 'i5', 'i6', 'i7'], each: '300ms', drain: '1s' },
  ],
}
