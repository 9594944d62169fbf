import type { RetentionPlanner } from '@laburnumshift/types';
import { buildRunReport } from './build-run-report.js';
import type { Deployment } from './deployment.js';
import type { EventQueue } from './event-queue.js';
import type { LinkView } from './link-view.js';
import type { RequestResult } from './request-result.js';
import type { SimRun } from './sim-run.js';
import type { SimStore } from './sim-store.js';

const MS_PER_S = 1000;

/** Runs a request on its engine: head and transfer side by side, then the rest, then the output. */
export function startSimRun(
  run: SimRun,
  world: {
    readonly events: EventQueue;
    readonly store: SimStore;
    readonly link: LinkView;
    readonly seen: Set<string>;
    readonly planner: RetentionPlanner;
    readonly deployment: Deployment;
  },
  report: { readonly recordFirst: (result: RequestResult) => void; readonly finish: () => void },
): void {
  const { request, engine, decision } = run;
  const { events, store, seen, deployment } = world;
  const { boot } = engine;
  const { pieces, kind } = request;
  const beganMs = events.getNowMs();
  const computed = pieces.filter((_, index) => index >= decision.cachedPieces && index < decision.headPieces);
  const imported = pieces.slice(decision.headPieces, decision.importEnd);
  computed.push(...pieces.slice(decision.importEnd));
  const missed = computed.filter(
    ({ chain }) => seen.has(chain) && store.getTier(request.account, chain) === undefined,
  );
  const headTokens = pieces
    .slice(decision.cachedPieces, decision.headPieces)
    .reduce((sum, piece) => sum + piece.tokens, 0);
  let parts = 2;
  engine.running += 1;

  const computeRest = (): void => {
    parts -= 1;
    if (parts > 0 || boot !== engine.boot) return;
    const tokens = computed.reduce((sum, piece) => sum + piece.tokens, 0);
    engine.addPrefill(tokens - headTokens, kind.priority, () => {
      const old = computed.filter((piece) => seen.has(piece.chain));
      const recomputedTokens = old.reduce((sum, piece) => sum + piece.tokens, 0);
      const missedTokens = missed.reduce((sum, piece) => sum + piece.tokens, 0);
      const ttftMs = events.getNowMs() - request.atMs;
      if (!run.started) {
        report.recordFirst({
          request,
          ttftMs,
          refused: false,
          computedTokens: tokens,
          recomputedTokens,
          missedTokens,
        });
      }
      run.started = true;
      recordPieces();
      events.schedule((kind.outputTokens / deployment.decodeTokensPerSecond) * MS_PER_S, () => {
        if (boot !== engine.boot) return;
        engine.running -= 1;
        reportRun();
        report.finish();
      });
    });
  };
  const recordPieces = (): void => {
    // The first piece becomes the most recent one, so that a prompt loses its end first.
    for (const { chain } of pieces.slice(0, -1).reverse()) {
      seen.add(chain);
      engine.cache.add(chain);
    }
  };
  const reportRun = (): void => {
    if (pieces.length < 2) return;
    const finished = buildRunReport(run);
    world.planner.recordUse(finished, events.getNowMs());
    const plans = world.planner.planExports(finished, [store.getView()], store.directory, events.getNowMs());
    store.addExports(plans);
  };

  if (headTokens > 0) engine.addPrefill(headTokens, kind.priority, computeRest);
  else computeRest();
  if (imported.length === 0) {
    computeRest();
    return;
  }
  store.importPieces(
    request.account,
    imported.map((piece) => piece.chain),
    (ok) => {
      if (boot !== engine.boot) return;
      if (ok) world.link.observeTransfer(decision.transferMs, events.getNowMs() - beganMs, events.getNowMs());
      else computed.push(...imported);
      computeRest();
    },
  );
}
