// A third of the invokers vanishes without a word.
(import 'quiet.jsonnet') {
  happenings: [
    { at: '12s', kind: 'vanish', who: ['i1', 'i5', 'i9', 'i13', 'i14'], lasts: '10s' },
  ],
}
