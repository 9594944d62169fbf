import { findHome as findFirst } from '@laburnumshift/rank-homes';
import { chooseCandidateCells, type LocalPlacer } from '@laburnumshift/manage-cell';
import type {
  Config,
  EngineFailure,
  Membership,
  NodeMesh,
  PieceRef,
  EnginePlacementReply,
  EnginePlacementRequest,
  PoolConfig,
  RunReport,
} from '@laburnumshift/types';
import { getCells } from './get-cells.js';
import type { Placer } from './placer.js';

/** Minimum time after `waitMs` in which the home may still answer. */
const MIN_GRACE_MS = 30;
/**
 * Fraction of the prefill time of the prompt in which the home may still answer. A local decision imports no pieces, so a
 * long prompt waits longer for the home. With only 30 ms, a pause of the home cost a prompt of 24 pieces 2.1 s.
 */
const GRACE_PREFILL_FRACTION = 0.1;
const MAX_GRACE_MS = 400;
const MS_PER_S = 1000;
const REPORT_TIMEOUT_MS = 1_000;

/** Creates the placer of an entry node. It asks the home of the cell and decides locally if the home does not answer in time. */
export function createPlacer(
  mesh: NodeMesh,
  getMembership: () => Membership | undefined,
  getConfig: () => Config | undefined,
  local: LocalPlacer,
  addToCounter: (name: string, labels: Readonly<Record<string, string>>) => void,
): Placer {
  const findHome = (pool: PoolConfig, cell: number): string => {
    const live = getMembership()?.listLiveMembers() ?? [];
    const servers = getCells(pool)[cell] ?? [];
    const domain = findCommonDomain(servers.map((server) => server.failureDomain));
    const domainMembers =
      domain === undefined ? [] : live.filter((member) => member.failureDomain === domain);
    const home = findFirst(
      `cell/${pool.name}/${String(cell)}`,
      domainMembers.length > 0 ? domainMembers : live,
    );
    return home?.address ?? mesh.getAddress();
  };
  const decideLocally = (request: EnginePlacementRequest, pool: PoolConfig): EnginePlacementReply => {
    addToCounter('placements_total', { by: 'entry' });
    return local.place(request, pool, getCells(pool)[request.cell] ?? pool.servers);
  };
  const sendReport = (pool: string, cell: number, send: (address: string) => Promise<unknown>): void => {
    const config = getConfig()?.pools[pool];
    if (config !== undefined) void send(findHome(config, cell));
  };

  return {
    findHome,
    rankCells: (pool: PoolConfig, pieces: readonly PieceRef[]): readonly number[] => {
      const count = getCells(pool).length;
      const { first, spill } = chooseCandidateCells(pool.name, pieces[0]?.chain ?? '', count);
      return spill === undefined ? [first] : [first, spill];
    },
    place: async (request) => {
      const pool = getConfig()?.pools[request.pool];
      if (pool === undefined) return { kind: 'refused', code: 'no_engine', retryAfterMs: 1_000 };
      const home = findHome(pool, request.cell);
      const graceMs = computeGrace(request, pool);
      const answer = await mesh.callNode(home, 'place', request, request.waitMs + graceMs);
      const reply = answer.ok ? answer.value : decideLocally(request, pool);
      if (answer.ok) addToCounter('placements_total', { by: 'home' });
      if (reply.kind === 'granted') local.registerRun(request.requestId, reply.grant.engine);
      return reply;
    },
    reportRun: (report: RunReport) => {
      local.releaseRun(report.requestId);
      if (report.result === 'finished') local.observeWeightVersion(report.engine, report.weightVersion);
      sendReport(report.pool, report.cell, (address) =>
        mesh.callNode(address, 'run-finished', report, REPORT_TIMEOUT_MS),
      );
    },
    reportFailure: (failure: EngineFailure) => {
      local.reportFailure(failure.engine);
      sendReport(failure.pool, failure.cell, (address) =>
        mesh.callNode(address, 'engine-failed', failure, REPORT_TIMEOUT_MS),
      );
    },
  };
}

/** Computes the time after `waitMs` in which the home may still answer: 30 to 400 milliseconds. */
function computeGrace(request: EnginePlacementRequest, pool: PoolConfig): number {
  const tokens = request.pieces.reduce((sum, piece) => sum + piece.tokens, 0);
  const rate = Math.max(1, ...pool.servers.map((server) => server.prefillTokensPerSecond));
  return Math.min(MAX_GRACE_MS, Math.max(MIN_GRACE_MS, (tokens / rate) * MS_PER_S * GRACE_PREFILL_FRACTION));
}

/** Finds the failure domain that all servers share. Returns `undefined` if they are in several, or if there are none. */
function findCommonDomain(domains: readonly string[]): string | undefined {
  return new Set(domains).size === 1 ? domains[0] : undefined;
}
