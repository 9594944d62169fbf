import { checkDeclarations } from '@laburnumshift/check-declarations';
import { startSite, type Site } from '@laburnumshift/fakes/site';
import type { FakesReply } from './fakes-reply.js';
import type { FakesReport } from './fakes-report.js';
import type { FakesRequest } from './fakes-request.js';

/** Pieces in each engine's prefix cache: room for one long prompt, so that a few others evict it. */
const ENGINE_PIECES = 32;
let site: Site | undefined;

function buildReport(running: Site): FakesReport {
  const engines = [...running.engines.values()].map((engine) => engine.getCounters());
  const computeSum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);
  const runs = Object.fromEntries([...running.services.values()].flatMap((s) => [...s.listRuns()]));
  return {
    computedTokens: computeSum(engines.map((counters) => counters.promptTokensComputed)),
    cachedTokens: computeSum(engines.map((counters) => counters.promptTokensCached)),
    importedTokens: computeSum(engines.map((counters) => counters.promptTokensImported)),
    wrongBlocks: computeSum(engines.map((counters) => counters.foreignAnswers)),
    linkBytes: computeSum([...running.stores.values()].map((store) => store.getCounters().linkBytes)),
    runs,
    platformCalls: running.platform.getCounts(),
  };
}

const handlers: {
  readonly [K in FakesRequest['kind']]: (request: Extract<FakesRequest, { kind: K }>) => Promise<FakesReply>;
} = {
  start: async ({ directory }) => {
    const pools = (await checkDeclarations(directory)).flatMap((segment) => segment.pools);
    site = await startSite({ pools, enginePieces: ENGINE_PIECES });
    const addresses = Object.fromEntries(site.addresses);
    return { kind: 'started', platformUrl: site.platform.url, addresses };
  },
  'set-nodes': ({ nodes }) => {
    site?.setNodes(nodes);
    return Promise.resolve({ kind: 'done' });
  },
  'get-report': () =>
    site === undefined
      ? Promise.reject(new Error('not started'))
      : Promise.resolve({ kind: 'report', report: buildReport(site) }),
};

process.on('message', (request: FakesRequest) => {
  const handle = handlers[request.kind] as (request: FakesRequest) => Promise<FakesReply>;
  handle(request).then(
    (reply) => process.send?.(reply),
    (error: unknown) => {
      process.stderr.write(`fakes: ${String(error)}\n`);
      process.exitCode = 1;
      process.disconnect();
    },
  );
});
process.on('disconnect', () => {
  process.exit();
});
