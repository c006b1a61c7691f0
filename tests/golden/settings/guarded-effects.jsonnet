// Jobs with effects: some carry a mark by which a repeat is known within a zone, some must never run twice.
(import 'on-demand.jsonnet') {
  allowances+: { second_copies: false },
  use_cases: {
    preview: { promised: '1500ms', repeat: 'replayable' },
    // Its jobs carry plumkeel-mark; invokers of one zone drop repeats of a mark for 5 s.
    invoice: { promised: '2s', repeat: 'referenced', reach: 'zone', remembered: '5s' },
    charge: { promised: '2s', repeat: 'single_use' },
  },
}
