// A six-second scenario for the tests: the deployment of bad-day.jsonnet with some of its faults. The auditor's time
// tolerance (slack) is large, so that the verdict does not depend on the speed of the machine.
(import 'bad-day.jsonnet') {
  length: '6s',
  slack: '1500ms',
  clients+: { rate: 60 },
  happenings: [
    { at: '1s', kind: 'crash', who: ['i1'], notice: '1s', lasts: '2s' },
    { at: '1s', kind: 'command', who: ['i2', 'i9'], say: 'cut_head share=0.3', 'then': 'cut_head share=0', lasts: '4s' },
    { at: '1500ms', kind: 'command', who: ['i3'], say: 'cut_on_arrival share=0.5', 'then': 'cut_on_arrival share=0', lasts: '3s' },
    { at: '2s', kind: 'vanish', who: ['i10'], lasts: '3s' },
    { at: '2s', kind: 'replace', who: ['i5'], drain: '1s' },
    { at: '3s', kind: 'kill_controller', who: ['c2'], lasts: '500ms' },
    { at: '3s', kind: 'command', who: ['i7'], say: 'turn_away on', 'then': 'turn_away off', lasts: '1s' },
  ],
}
