import type { NodeSettings } from '@laburnumshift/types';

/** Builds the settings of a node on loopback, with the defaults of a daemon. */
export function buildSettings(index: number, domains: number, platformUrl: string): NodeSettings {
  return {
    host: `entry-${String(index)}`,
    failureDomain: `domain-${String(index % domains)}`,
    callers: '127.0.0.1:0',
    operators: '127.0.0.1:0',
    mesh: '127.0.0.1:0',
    platformUrl,
    seeds: [],
    meshSecret: 'a secret of the measurement',
    limits: { maxBodyBytes: 8e6, maxHeaderBytes: 16_384, maxConnections: 1000, maxBufferedBytes: 1e6 },
    platform: { writesPerSecond: 50, readsPerSecond: 250 },
    journal: { shards: 3, retentionMs: 7_200_000, minWriteIntervalMs: 80 },
    shutdown: { balancerDelayMs: 0, drainMs: 1000 },
    log: { level: 'error' },
  };
}
