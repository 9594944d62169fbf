import type { EngineFaults, StreamFault } from '@laburnumshift/fakes/engine';
import type { FaultHandler } from './fault-handler.js';
import { orderWeights } from './order-weights.js';
import { pickTarget } from './pick-target.js';

const FAULTY_STREAMS = 2;
const MAX_GOOD_TOKENS = 6;
/** Weight versions among which swaps choose; operators publish the same ones. */
const VERSIONS = 3;
const SLOW_ANSWER_MS = 400;

/** Sets switches of one engine. */
function buildHandler(set: Partial<EngineFaults>, undo: Partial<EngineFaults>): FaultHandler {
  return ({ site, target }) => {
    const engine = pickTarget(site.engines.values(), target);
    engine.setFaults(set);
    return () => {
      engine.setFaults(undo);
    };
  };
}

/** Breaks the next streams of each engine. */
function buildStreamHandler(kind: StreamFault['kind']): FaultHandler {
  return ({ site, target }) => {
    const engines = [...site.engines.values()];
    const fault = { kind, afterTokens: target % MAX_GOOD_TOKENS, streams: FAULTY_STREAMS };
    for (const engine of engines) {
      engine.setFaults({ streamFaults: [...engine.getFaults().streamFaults, fault] });
    }
    return () => {
      for (const engine of engines) engine.setFaults({ streamFaults: [] });
    };
  };
}

/** Faults of engines and of their streams. */
export const ENGINE_FAULT_HANDLERS = {
  'engine-crash': buildHandler({ crashNow: true }, {}),
  'engine-silent-connections': buildHandler({ silenceOpen: true }, {}),
  'engine-events-lost': buildHandler(
    { loseEvery: 2, extraEventDelayMs: 300 },
    { loseEvery: 0, extraEventDelayMs: 0 },
  ),
  'engine-load-frozen': buildHandler({ loadReports: 'frozen' }, { loadReports: 'live' }),
  'engine-load-failing': buildHandler({ loadReports: 'failing' }, { loadReports: 'live' }),
  'engine-refused': buildHandler({ refuse: true }, { refuse: false }),
  'engine-slow-answer': buildHandler({ answerDelayMs: SLOW_ANSWER_MS }, { answerDelayMs: 0 }),
  'engine-swapped': async ({ site, target }) => {
    await orderWeights(pickTarget(site.engines.values(), target), `v${String((target % VERSIONS) + 1)}`);
    return () => undefined;
  },
  'stream-silent': buildStreamHandler('silent'),
  'stream-crossed': buildStreamHandler('crossed'),
  'stream-duplicated': buildStreamHandler('duplicated'),
  'stream-skipped': buildStreamHandler('skipped'),
  'stream-truncated': buildStreamHandler('truncated'),
  'stream-early-done': buildStreamHandler('early-done'),
  'stream-cut': buildStreamHandler('cut'),
  'stream-wrong-version': buildStreamHandler('wrong-version'),
} satisfies Readonly<Record<string, FaultHandler>>;
