import { createPrefillBacklog } from '@laburnumshift/place-request';
import type { LoadView } from './load-view.js';
import type { SimEngine } from './sim-engine.js';

const MS_PER_S = 1000;

/** Creates the view of one engine with the same backlog as in the home of a cell; reports give only the sum. */
export function createLoadView(engine: SimEngine): LoadView {
  const backlog = createPrefillBacklog();
  const { rate } = engine;
  return {
    takeReport: (nowMs) => {
      backlog.setTotalTokens((engine.getBacklogMs('bulk') / MS_PER_S) * rate, rate, nowMs);
    },
    addGrant: (tokens, priority, nowMs) => {
      backlog.addTokens(tokens, priority, rate, nowMs);
    },
    getQueueMs: (priority, nowMs) => (backlog.getTokensAhead(priority, rate, nowMs) / rate) * MS_PER_S,
  };
}
