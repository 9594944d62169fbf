import type { DaemonFault } from './daemon-fault.js';

const LINK_TENTH = 0.1;

/** Faults by scenario name. */
export const DAEMON_FAULTS: Readonly<Record<string, DaemonFault>> = {
  'store-dead': {
    description: 'the store host dies in the middle of the run',
    candidates: ['own', 'keep-none'],
    recovery: 'keep-none',
    injectFault: ({ site, deployment: { store: name } }) =>
      site.setState({ kind: 'set-store', name, faults: { dead: true } }),
  },
  'link-tenth': {
    description: 'the store link drops to a tenth of its rate in the middle of the run',
    candidates: ['own', 'keep-none'],
    recovery: 'keep-none',
    injectFault: ({ site, deployment: { store: name } }) =>
      site.setState({ kind: 'set-store', name, faults: { linkFactor: LINK_TENTH } }),
  },
  'engines-restarted': {
    description: 'half of the engines crash and restart in the middle of the run',
    candidates: ['own', 'sticky', 'prefix-aware'],
    injectFault: async ({ site, deployment: { engines } }) => {
      for (const name of engines.slice(0, engines.length / 2)) {
        await site.setState({ kind: 'set-engine', name, faults: { crashNow: true } });
      }
    },
  },
  'engine-silent': {
    description: 'the open connections of an engine go silent in the middle of the run',
    candidates: ['own'],
    injectFault: async ({ site, deployment: { engines } }) => {
      const [name = ''] = engines;
      await site.setState({ kind: 'set-engine', name, faults: { silenceOpen: true } });
    },
  },
  'entry-killed': {
    description: 'an entry daemon is killed in the middle of the run',
    candidates: ['own'],
    injectFault: async ({ daemons }) => {
      await daemons.pop()?.stop('SIGKILL');
    },
  },
};
