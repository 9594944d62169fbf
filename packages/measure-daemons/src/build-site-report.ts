import type { Site } from '@laburnumshift/fakes/site';
import type { SiteReport } from './site-report.js';

function computeSum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Adds up the counters of the fakes. */
export function buildSiteReport(site: Site): Omit<SiteReport, 'peakLinkUse' | 'lastRunAtMs'> {
  const engines = [...site.engines.values()].map((engine) => engine.getCounters());
  return {
    computedTokens: computeSum(engines.map((counters) => counters.promptTokensComputed)),
    cachedTokens: computeSum(engines.map((counters) => counters.promptTokensCached)),
    importedTokens: computeSum(engines.map((counters) => counters.promptTokensImported)),
    foreignAnswers: computeSum(engines.map((counters) => counters.foreignAnswers)),
    linkBytes: computeSum([...site.stores.values()].map((store) => store.getCounters().linkBytes)),
    runs: Object.fromEntries([...site.services.values()].flatMap((service) => [...service.listRuns()])),
    platformCalls: site.platform.getCounts(),
  };
}
