import type { StoreFaults } from '@laburnumshift/fakes/store';
import type { FaultHandler } from './fault-handler.js';
import { pickTarget } from './pick-target.js';

/** A link at a hundredth of its rate. */
const SLOW_FACTOR = 0.01;

/** Sets switches of one store. */
function buildHandler(set: Partial<StoreFaults>, undo: Partial<StoreFaults>): FaultHandler {
  return ({ site, target }) => {
    const store = pickTarget(site.stores.values(), target);
    store.setFaults(set);
    return () => {
      store.setFaults(undo);
    };
  };
}

/** Sets a fault at a point of the protocol of all stores. */
function buildPointHandler(points: StoreFaults['points']): FaultHandler {
  return ({ site }) => {
    const stores = [...site.stores.values()];
    for (const store of stores) store.setFaults({ points: { ...store.getFaults().points, ...points } });
    return () => {
      for (const store of stores) store.setFaults({ points: {} });
    };
  };
}

/** Faults of store hosts and of the pieces in them. */
export const STORE_FAULT_HANDLERS = {
  'store-dead': buildHandler({ dead: true }, { dead: false }),
  'store-full': buildHandler({ full: true }, { full: false }),
  'store-slow': buildHandler({ linkFactor: SLOW_FACTOR }, { linkFactor: 1 }),
  'store-silent-connections': buildHandler({ silenceOpen: true }, {}),
  'piece-freed': buildPointHandler({ 'read-middle': 'free' }),
  'piece-rewritten': buildPointHandler({ 'read-middle': 'rewrite' }),
  'piece-corrupted': buildPointHandler({ 'read-middle': 'corrupt' }),
  'piece-truncated': buildPointHandler({ 'read-middle': 'truncate' }),
  'piece-wrong-version': buildPointHandler({ 'read-start': 'wrong-version', meta: 'wrong-version' }),
  'commit-cut': buildPointHandler({ commit: 'cut' }),
} satisfies Readonly<Record<string, FaultHandler>>;
