import { checkDeclarations } from '@laburnumshift/check-declarations';
import { startSite, type Site } from '@laburnumshift/fakes/site';
import { buildSiteReport } from './build-site-report.js';
import { createSiteMeter } from './create-site-meter.js';
import type { SiteRequest } from './site-request.js';

let running: { readonly site: Site; readonly meter: ReturnType<typeof createSiteMeter> } | undefined;

function getRunning(): NonNullable<typeof running> {
  if (running === undefined) throw new Error('the site has not been started');
  return running;
}

const handlers: {
  readonly [K in SiteRequest['kind']]: (request: Extract<SiteRequest, { kind: K }>) => unknown;
} = {
  start: async ({ directory, enginePieces }) => {
    const pools = (await checkDeclarations(directory)).flatMap((segment) => segment.pools);
    const site = await startSite({ pools, enginePieces });
    const rates = pools.flatMap((pool) => pool.stores).map((s) => [s.name, s.linkBytesPerSecond] as const);
    running = { site, meter: createSiteMeter(site, new Map(rates)) };
    return { platformUrl: site.platform.url, addresses: Object.fromEntries(site.addresses) };
  },
  'set-nodes': ({ nodes }) => {
    getRunning().site.setNodes(nodes);
  },
  'set-leaving': ({ name }) => {
    getRunning().site.setLeaving(name, true);
  },
  'set-engine': ({ name, faults }) => {
    getRunning().site.engines.get(name)?.setFaults(faults);
  },
  'set-store': ({ name, faults }) => {
    getRunning().site.stores.get(name)?.setFaults(faults);
  },
  'set-platform': ({ faults }) => {
    getRunning().site.platform.setFaults(faults);
  },
  'get-report': () => {
    const { site, meter } = getRunning();
    const measured = { peakLinkUse: meter.getPeakLinkUse(), lastRunAtMs: meter.getLastRuns() };
    return { ...buildSiteReport(site), ...measured };
  },
};

process.on('message', ({ id, request }: { readonly id: number; readonly request: SiteRequest }) => {
  const handle = handlers[request.kind] as (request: SiteRequest) => unknown;
  Promise.resolve()
    .then(() => handle(request))
    .then(
      (value) => process.send?.({ id, value }),
      (error: unknown) => process.send?.({ id, error: String(error) }),
    );
});
process.on('disconnect', () => {
  process.exit();
});
