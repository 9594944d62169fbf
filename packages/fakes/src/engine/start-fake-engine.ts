import http from 'node:http';
import { startTimer } from '@laburnumshift/clock';
import type { FakeServer } from '../store/fake-server.js';
import { sendJson } from '../store/send-json.js';
import { startFakeServer } from '../store/start-fake-server.js';
import { buildSettings } from './build-settings.js';
import { computeLoad } from './compute-load.js';
import { createBoot } from './create-boot.js';
import { DEFAULT_ENGINE_FAULTS } from './default-engine-faults.js';
import type { EngineCounters } from './engine-counters.js';
import type { EngineFaults } from './engine-faults.js';
import { ENGINE_ROUTES } from './engine-routes.js';
import type { EngineSettings } from './engine-settings.js';
import type { EngineState } from './engine-state.js';
import type { FakeEngineOptions } from './fake-engine-options.js';
import type { FakeEngine } from './fake-engine.js';

function createCounters(): EngineCounters {
  return {
    promptTokensComputed: 0,
    promptTokensCached: 0,
    promptTokensImported: 0,
    resumedTokens: 0,
    outputTokens: 0,
    runs: {},
    runsByVersion: {},
    importedBytes: 0,
    exportedBytes: 0,
    importMisses: 0,
    foreignAnswers: 0,
    crashes: 0,
  };
}

function createState(settings: EngineSettings, server: FakeServer): EngineState {
  let down = false;
  const applyRefusal = (): void => {
    server.setRefusing(down || state.faults.refuse);
  };
  const failEngine = (): void => {
    if (down) return;
    down = true;
    state.counters.crashes += 1;
    state.boot.stopper.abort();
    applyRefusal();
    startTimer(settings.restartMs, () => {
      state.boot = createBoot(settings, () => state.faults);
      state.loading = false;
      state.lastLoad = undefined;
      down = false;
      applyRefusal();
    });
  };
  const setFaults = (patch: Partial<EngineFaults>): void => {
    state.faults = { ...state.faults, ...patch, crashNow: false, silenceOpen: false };
    if (patch.silenceOpen === true) server.silenceOpen();
    if (patch.refuse !== undefined) applyRefusal();
    if (patch.crashNow === true) failEngine();
  };
  const state: EngineState = {
    settings,
    server,
    counters: createCounters(),
    runRecords: [],
    agent: new http.Agent({ keepAlive: true }),
    orders: new Set(),
    setFaults,
    failEngine,
    faults: DEFAULT_ENGINE_FAULTS,
    boot: createBoot(settings, () => state.faults),
    model: settings.model,
    weightVersion: settings.weightVersion,
    adapters: settings.adapters,
    role: settings.role,
    loading: false,
    lastFencing: 0,
    orderTail: Promise.resolve(),
    lastLoad: undefined,
  };
  return state;
}

/** Starts a model engine on the loopback interface with modelled rates and sizes and fault switches. */
export async function startFakeEngine(options: FakeEngineOptions = {}): Promise<FakeEngine> {
  const settings = buildSettings(options);
  const server = await startFakeServer(settings.port, async (request, response) => {
    const url = new URL(request.url ?? '/', 'http://engine');
    const handler = ENGINE_ROUTES[`${request.method ?? ''} ${url.pathname}`];
    if (handler === undefined) sendJson(server, response, 404, { error: 'no such path' });
    else await handler({ state, request, response, url });
  });
  const state = createState(settings, server);
  state.setFaults(options.faults ?? {});
  return {
    name: settings.name,
    url: server.url,
    port: server.port,
    loadGroup: settings.loadGroup,
    setFaults: state.setFaults,
    getFaults: () => state.faults,
    getCounters: () => structuredClone(state.counters),
    listRuns: () => structuredClone(state.runRecords),
    getLoad: () => computeLoad(state),
    getBootId: () => state.boot.id,
    listCached: () => state.boot.cache.listBlocks().map(({ scope, chain }) => ({ scope, chain })),
    close: async () => {
      state.boot.stopper.abort();
      state.agent.destroy();
      await server.close();
    },
  };
}
