import {
  computeElapsedMs,
  computeMinElapsedMs,
  readMoment,
  runEvery,
  sleep,
  type Moment,
} from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import { ORDER_STAGES, type OrderMark, type OrderStage } from '@laburnumshift/forward-types';
import { hasPendingOrder } from '@laburnumshift/track-fleet';
import { chooseNextOrders } from './choose-next-orders.js';
import { listOutdatedEngines } from './list-outdated-engines.js';
import type { OutdatedEngine } from './outdated-engine.js';
import type { RolloutOptions } from './rollout-options.js';

/** Pause between two runs on the host that holds the lease, milliseconds. */
const HOLDER_PERIOD_MS = 60;
/**
 * Pauses on hosts without the lease, milliseconds: while engines are outdated and otherwise. The first is a quarter of the
 * shortest time in which the lease can be taken over.
 */
const TAKEOVER_PERIOD_MS = 300;
const IDLE_PERIOD_MS = 1000;
/**
 * Longest time for which an engine finishes its runs without new calls before it gets the order, milliseconds: until all hosts
 * have seen its mark. Longer runs continue with the new weights, as waiting for them would keep the engine from all other
 * calls.
 */
const MAX_DRAIN_MS = 400;
/** A new holder waits this long before its first orders, milliseconds, as marks of the previous holder may still arrive. */
const NEW_HOLDER_DELAY_MS = 150;
/** Delay before a failed write of a mark is retried, milliseconds. */
const MARK_RETRY_DELAY_MS = 300;
/** Pause between two reports of an engine that loads weights, milliseconds: a third of a load. */
const REPORT_PERIOD_MS = 150;
/**
 * An engine that has not loaded the weights within this time is left for a later attempt, milliseconds: the longest run and a
 * load.
 */
const ORDER_TIMEOUT_MS = 8000;
/** Delay after an order without an answer, milliseconds. The order count of the engine then shows whether the order arrived. */
const UNKNOWN_OUTCOME_DELAY_MS = 500;
/** An accepted order appears in the reports of the engine within this time, milliseconds. */
const REPORT_DELAY_MS = 1500;
/**
 * An order is sent only while the lease is held for at least this long, milliseconds: the transfer to the engine with a margin.
 */
const MIN_LEASE_MS = 200;
/** Margin added to the lease bound between the orders of two holders, milliseconds. */
const TAKEOVER_MARGIN_MS = 150;

/**
 * Orders engines to load the newest weights while this host holds the lease. Each order states how many orders the engine has
 * accepted so far, so that the engine refuses an order that arrives late. An engine that another holder marked gets orders only
 * when no order of that holder can still be in transit.
 *
 * @returns a function that stops new orders; an order in progress ends when the lease is lost or it times out
 */
export function orderWeights(options: RolloutOptions): () => void {
  const { fleet, control, lease, writeOrderMark, host } = options;
  const logger = createLogger('weights');
  const active = new Set<string>();
  let fencing: number | undefined;
  let heldSince = readMoment();

  const getOrderFencing = (): number | undefined => {
    const current = lease.getFencingToken();
    return current === fencing && lease.getRemainingMs() >= MIN_LEASE_MS ? current : undefined;
  };
  /** Whether no order of another holder can still be in transit to the engine. */
  const hasNoForeignOrder = (mark: OrderMark | undefined): boolean => {
    const heldMs = computeMinElapsedMs(heldSince);
    const eraMs = options.era?.getAgeMs() ?? Infinity;
    const minMs = options.bounds.leaseMs + TAKEOVER_MARGIN_MS;
    // Marks of the last holder before a restore of the store may be lost, unless this host held the lease already.
    if (eraMs < minMs && heldMs < eraMs) return false;
    return (
      mark === undefined || mark.holder === host || mark.stage === ORDER_STAGES.draining || heldMs >= minMs
    );
  };
  const orderOne = async ({ engine, model, ...outdated }: OutdatedEngine): Promise<void> => {
    const started = readMoment();
    let { version } = outdated;
    const writeMark = async (stage: OrderStage): Promise<boolean> => {
      const isWritten = await writeOrderMark(engine.id, { holder: host, model, version, stage });
      if (!isWritten)
        logger.warn('failed to write the order mark of an engine', {
          engine: engine.id,
          model,
          version,
          stage,
        });
      return isWritten;
    };
    let drainStarted: Moment | undefined;
    let accepted: Moment | undefined;
    while (computeElapsedMs(started) < ORDER_TIMEOUT_MS && lease.getFencingToken() !== undefined) {
      const known = fleet.getBackend(engine.id);
      if (known?.bornMs !== engine.bornMs) return;
      const report = await control.readReport(engine);
      const current = report?.versions.get(model) ?? 0;
      // Newer weights may have been published meanwhile; an engine without an accepted order loads them directly.
      if (accepted === undefined) version = fleet.getWeights(model)?.version ?? version;
      if (current >= version) {
        await writeMark(ORDER_STAGES.done);
        logger.info('engine loaded new weights', {
          engine: engine.id,
          model,
          version,
          ms: computeElapsedMs(started),
        });
        return;
      }
      // Reports are delayed, so an accepted order appears in them only after some time.
      const isPending = accepted !== undefined && computeMinElapsedMs(accepted) < REPORT_DELAY_MS;
      if (
        report === undefined ||
        report.isExecutingOrder ||
        isPending ||
        !hasNoForeignOrder(known.orderMark)
      ) {
        await sleep(REPORT_PERIOD_MS);
        continue;
      }
      if (drainStarted === undefined) {
        if (await writeMark(ORDER_STAGES.draining)) drainStarted = readMoment();
        await sleep(drainStarted === undefined ? MARK_RETRY_DELAY_MS : REPORT_PERIOD_MS);
        continue;
      }
      const runs = report.running + report.waiting;
      if (runs > 0 && computeElapsedMs(drainStarted) < MAX_DRAIN_MS) {
        await sleep(REPORT_PERIOD_MS);
        continue;
      }
      // Without the mark, the next holder of the lease would not know of this order.
      if (!(await writeMark(ORDER_STAGES.ordered))) {
        await sleep(MARK_RETRY_DELAY_MS);
        continue;
      }
      const number = getOrderFencing();
      if (number === undefined) return;
      const order = {
        model,
        version,
        keepsRuns: runs > 0,
        holder: host,
        fencing: number,
        expectedOrders: report.orderCount,
      };
      const outcome = await control.sendOrder(engine, order);
      logger.info('order sent', { engine: engine.id, ...order, runs, outcome });
      if (outcome === 'refused') return;
      if (outcome === 'accepted') accepted = readMoment();
      await sleep(outcome === 'unknown' ? UNKNOWN_OUTCOME_DELAY_MS : REPORT_PERIOD_MS);
    }
    logger.warn('engine did not load the new weights in time', { engine: engine.id, model, version });
  };
  const startOrder = (next: OutdatedEngine): void => {
    active.add(next.engine.id);
    orderOne(next)
      .catch((error: unknown) => {
        logger.error('weight order failed', { engine: next.engine.id, detail: String(error) });
      })
      .finally(() => {
        active.delete(next.engine.id);
      });
  };
  const runOnce = (): void => {
    const current = lease.getFencingToken();
    if (current !== fencing) {
      fencing = current;
      heldSince = readMoment();
    }
    if (current === undefined || computeMinElapsedMs(heldSince) < NEW_HOLDER_DELAY_MS) return;
    const outdated = listOutdatedEngines(fleet);
    if (outdated.length === 0) return;
    const services = new Set(outdated.map(({ engine }) => engine.service));
    for (const service of services) {
      const ofService = outdated.filter(({ engine }) => engine.service === service);
      const engines = fleet
        .listAllBackends()
        .filter((engine) => engine.service === service && !engine.isDraining);
      const waiting = ofService
        .filter(({ engine }) => !active.has(engine.id))
        .map((one) => ({ ...one, isMarked: hasPendingOrder(one.engine) }));
      const activeCount = engines.filter((engine) => active.has(engine.id) || hasPendingOrder(engine)).length;
      for (const next of chooseNextOrders(waiting, activeCount, engines.length)) startOrder(next);
    }
  };
  const computePauseMs = (): number => {
    if (lease.getFencingToken() !== undefined) return HOLDER_PERIOD_MS;
    return listOutdatedEngines(fleet).length > 0 ? TAKEOVER_PERIOD_MS : IDLE_PERIOD_MS;
  };
  return runEvery(computePauseMs, runOnce, (error) => {
    logger.error('weight rollout failed', { detail: String(error) });
  });
}
