import type { ServiceFaults } from '@laburnumshift/fakes/service';
import type { FaultHandler } from './fault-handler.js';
import { pickTarget } from './pick-target.js';

type Faults = Partial<ServiceFaults>;

const LOST_CALLS = 2;
const SLOW_MS = 700;

/** Sets switches of one service instance. */
function buildHandler(set: Faults, undo: Faults): FaultHandler {
  return async ({ site, target }) => {
    const service = pickTarget(site.services.values(), target);
    await service.setFaults(set);
    return () => service.setFaults(undo);
  };
}

/** Sets switches of the older system. */
function buildOlderHandler(set: Faults, undo: Faults): FaultHandler {
  return async ({ site }) => {
    await site.older.setFaults(set);
    return () => site.older.setFaults(undo);
  };
}

/** Faults of plain services and of the older system. */
export const SERVICE_FAULT_HANDLERS = {
  'service-lost-after': buildHandler({ lostAfterRun: LOST_CALLS }, { lostAfterRun: 0 }),
  'service-lost-before': buildHandler({ lostBeforeRun: LOST_CALLS }, { lostBeforeRun: 0 }),
  'service-silent-answer': buildHandler(
    { lostAfterRun: LOST_CALLS, lostBy: 'silence' },
    { lostAfterRun: 0, lostBy: 'cut' },
  ),
  'service-silent-connections': buildHandler({ silenceOpen: true }, {}),
  'service-slow': buildHandler({ slowMs: SLOW_MS }, { slowMs: 0 }),
  'service-leaving': buildHandler({ leaving: true }, { leaving: false }),
  'service-crash': buildHandler({ crashed: true }, { crashed: false }),
  'older-down': buildOlderHandler({ crashed: true }, { crashed: false }),
  'older-lost-after': buildOlderHandler({ lostAfterRun: LOST_CALLS }, { lostAfterRun: 0 }),
} satisfies Readonly<Record<string, FaultHandler>>;
