import type { NodeSettings } from '@laburnumshift/types';

/**
 * Settings of node `index` of a run.
 *
 * @param meshSecret one for each run: a node that ended leaves its port to another run, whose nodes must not be taken for it
 */
export function buildSettings(
  index: number,
  platformUrl: string,
  seeds: readonly string[],
  meshSecret: string,
): NodeSettings {
  return {
    host: `entry-${String(index + 1)}`,
    failureDomain: `domain-${String(index % 3)}`,
    callers: '127.0.0.1:0',
    operators: '127.0.0.1:0',
    mesh: '127.0.0.1:0',
    platformUrl,
    seeds,
    meshSecret,
    limits: {
      maxBodyBytes: 8_388_608,
      maxHeaderBytes: 16_384,
      maxConnections: 10_000,
      maxBufferedBytes: 1_048_576,
    },
    platform: { writesPerSecond: 50, readsPerSecond: 250 },
    journal: { shards: 3, retentionMs: 7_200_000, minWriteIntervalMs: 80 },
    shutdown: { balancerDelayMs: 300, drainMs: 30_000 },
    log: { level: 'error' },
  };
}
