// `plumkeel platform` processes with stubs for clients, discovery and invokers: one process by number of invokers, then
// two processes by number of further discovery watchers.
{
  platform: [
    { name: 'one process', over: 'invokers', sizes: [720, 7200, 18000], runs: 2, idle: '5s', busy: '8s', changes: 100 },
    { name: '720 invokers; two processes', over: 'watchers', sizes: [500, 2000, 7100], invokers: 720, processes: 2, idle: '4s', busy: '3s', changes: 20 },
  ],
}
