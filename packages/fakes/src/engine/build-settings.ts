import type { EngineSettings } from './engine-settings.js';
import type { FakeEngineOptions } from './fake-engine-options.js';
import { LoadGroup } from './load-group.js';

const MIB = 1024 ** 2;

/** Builds the settings of the fake engine from its options and the defaults. */
export function buildSettings(options: FakeEngineOptions): EngineSettings {
  return {
    name: 'engine',
    port: 0,
    model: 'model',
    weightVersion: 'v1',
    adapters: [],
    role: 'serve',
    slots: 8,
    prefillTokensPerSecond: 20_000,
    decodeTokensPerSecond: 100,
    cacheBytes: 64 * MIB,
    pieceBytes: MIB,
    pieceTokens: 2_000,
    checksFencing: true,
    loadMs: 500,
    loadGroup: new LoadGroup(),
    platformUrl: undefined,
    restartMs: 500,
    eventDelayMs: 50,
    loadLagMs: 100,
    importLimitMs: 2_000,
    ...options,
  };
}
