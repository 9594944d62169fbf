import type { NodeParts } from './node-parts.js';

const BYTES_PER_MIB = 1024 * 1024;

/** Registers the gauges of a node, which are read when its metrics are rendered. */
export function setGauges(parts: NodeParts): void {
  const { metrics, configWatch, membership, registry, platform, mesh, limiter, retryBudget } = parts;
  metrics.registerGauge('config_generation', () => configWatch.getConfig()?.generation ?? 0);
  metrics.registerGauge('config_stale', () => Number(configWatch.isStale()));
  metrics.registerGauge('live_members', () => membership.listLiveMembers().length);
  metrics.registerGauge('platform_silence_ms', () => platform.getSilenceMs());
  metrics.registerGauge('memory_rss_mib', () => process.memoryUsage.rss() / BYTES_PER_MIB);
  metrics.registerGauge('cpu_seconds_total', () => {
    const { user, system } = process.cpuUsage();
    return (user + system) / 1e6;
  });
  const groups: readonly (readonly [string, () => Readonly<Record<string, number>>])[] = [
    ['runs', registry.getCounts],
    ['platform_calls', platform.getCounts],
    ['mesh', mesh.getCounts],
    ['account_limits', limiter.getCounts],
    ['retries', retryBudget.getRetryCounts],
  ];
  for (const [name, read] of groups) metrics.registerGaugeGroup(name, read);
}
