import type { LoadView } from './load-view.js';
import type { SimEngine } from './sim-engine.js';

/** Creates the view of one engine. As in the home of a cell, it does not tell priorities apart. */
export function createLoadView(engine: SimEngine): LoadView {
  let backlogMs = 0;
  let atMs = 0;
  const estimateMs = (nowMs: number): number => Math.max(0, backlogMs - (nowMs - atMs));
  return {
    takeReport: (nowMs) => {
      backlogMs = engine.getBacklogMs('bulk');
      atMs = nowMs;
    },
    addGrant: (ms) => {
      backlogMs += ms;
    },
    getQueueMs: (_priority, nowMs) => estimateMs(nowMs),
  };
}
