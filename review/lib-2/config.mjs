/** A configuration like that of a small deployment: streams at engines, and calls of a plain service. */
export function buildConfig(version, changes = {}, stores = []) {
  const route = { host: 'desk.example', public: false };
  const stream = {
    ...route,
    kind: 'streaming',
    service: 'models',
    'timeout-ms': 15_000,
    'target-latency-ms': 1000,
    priority: 1,
    sticky: true,
    'target-gap-ms': 300,
  };
  const plain = {
    ...route,
    service: 'desk',
    'timeout-ms': 4000,
    'target-latency-ms': 300,
    priority: 2,
    'max-attempts': 2,
  };
  return {
    version,
    routes: [
      { ...stream, name: 'script', 'path-prefix': '/script/', resumable: false, 'max-attempts': 1 },
      { ...stream, name: 'answer', 'path-prefix': '/answer/', resumable: true, 'max-attempts': 2 },
      { ...plain, name: 'book', 'path-prefix': '/book/', kind: 'non_idempotent' },
      { ...plain, name: 'look', 'path-prefix': '/look/', kind: 'idempotent' },
    ],
    services: [
      {
        name: 'models',
        'health-path': '/healthz',
        'max-connections': 370,
        protocol: 'h1',
        tls: false,
        engine: {
          slots: 64,
          'kv-capacity-tokens': 105_155,
          'kv-token-bytes': 163_840,
          'link-mbps': 550_000,
          moves: true,
          backups: true,
          managed: true,
          stride: 5,
          'max-in-flight': 12,
          'pin-ms': 4000,
          'hold-ms': 2000,
          handle_s: 5,
          models: [{ name: 'model-a' }],
        },
      },
      ...stores.map(({ id, address, zone, capacityTokens }) => ({
        name: id,
        'kv-store-addr': address,
        zone,
        'kv-capacity-tokens': capacityTokens,
        'link-mbps': 670_000,
        'max-in-flight': 12,
        managed: true,
        first_ms: 0.5,
      })),
      { name: 'desk', 'health-path': '/healthz', 'max-connections': 110, protocol: 'h1', tls: false },
    ],
    limits: {
      'max-header-bytes': 16_384,
      'max-body-bytes': 4_194_304,
      'header-timeout-ms': 3000,
      'idle-timeout-ms': 15_000,
    },
    tenants: [
      { name: 'north-desk', 'api-keys': ['key-north'], priority: 1 },
      { name: 'south-desk', 'api-keys': ['key-south'], priority: 1 },
    ],
    ...changes,
  };
}
