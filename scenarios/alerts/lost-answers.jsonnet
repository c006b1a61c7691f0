// Five invokers cut off half of their responses for 10 seconds.
(import 'quiet.jsonnet') {
  happenings: [
    { at: '12s', kind: 'command', who: ['i1', 'i5', 'i9', 'i13', 'i7'], say: 'cut_head share=0.5', 'then': 'cut_head share=0', lasts: '10s' },
  ],
}
