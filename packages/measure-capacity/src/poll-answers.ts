import { buildHosts } from './build-hosts.js';

const ENGINE_LOAD = {
  boot_id: '4f7c1c0e-6a2b-4f70-9d0c-0f5b8d1f7a11',
  at: 1_790_000_000_000,
  weight_version: 'v1',
  adapters: [],
  role: 'serve',
  leaving: false,
  loading: false,
  running: 7,
  queued_tokens: 12_000,
  running_tokens: 4000,
  slots: 16,
  other_share: 0,
  last_fencing: 12,
};
const STORE_STAT = {
  memoryBytes: 64e9,
  memoryUsed: 40e9,
  diskBytes: 4e12,
  diskUsed: 3e12,
  linkBytesPerSecond: 3e9,
  linkQueuedBytes: 0,
  otherShare: 0,
};

const SERVICE_LOAD = { running: 1, queued: 0, leaving: false, boot_id: ENGINE_LOAD.boot_id };

/** Answers of the server that the polls are measured against, by path. */
export const POLL_ANSWERS: Readonly<Record<string, unknown>> = {
  '/load': process.argv[3] === 'service' ? SERVICE_LOAD : ENGINE_LOAD,
  '/stat': STORE_STAT,
  '/hosts': { revision: 1, hosts: buildHosts(0, Number(process.argv[2] ?? 10)) },
};
