import type { PlatformFaults } from '@laburnumshift/fakes/platform';
import type { FaultContext } from './fault-context.js';
import type { FaultHandler } from './fault-handler.js';

const SLOW_MS = 300;
const LOST_ANSWERS = 3;

function buildHandler(
  set: Partial<PlatformFaults>,
  undo: Partial<PlatformFaults>,
  outage?: 'platform' | 'hosts',
): FaultHandler {
  return ({ site, beginOutage }: FaultContext) => {
    site.platform.setFaults(set);
    const endOutage = outage === undefined ? undefined : beginOutage(outage);
    return () => {
      site.platform.setFaults(undo);
      endOutage?.();
    };
  };
}

/** Faults of the platform. */
export const PLATFORM_FAULT_HANDLERS = {
  'platform-down': buildHandler({ down: true }, { down: false }, 'platform'),
  'platform-unreachable': buildHandler({ unreachable: true }, { unreachable: false }, 'platform'),
  'platform-silent': buildHandler({ silent: true }, { silent: false }, 'platform'),
  'platform-slow': buildHandler({ slowMs: SLOW_MS }, { slowMs: 0 }),
  'platform-lost-after': buildHandler({ loseAnswerAfter: LOST_ANSWERS }, { loseAnswerAfter: 0 }),
  'platform-lost-before': buildHandler({ loseAnswerBefore: LOST_ANSWERS }, { loseAnswerBefore: 0 }),
  'platform-mute-watch': buildHandler({ muteWatch: true }, { muteWatch: false }),
  'hosts-stale': buildHandler({ staleHosts: true }, { staleHosts: false }, 'hosts'),
} satisfies Readonly<Record<string, FaultHandler>>;
