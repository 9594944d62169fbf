import { computeElapsedMs, readMoment, runEvery, sleep, type Moment } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import { ORDER_STAGES, type OrderMark, type OrderStage } from '@laburnumshift/forward-types';
import { isUnderOrder } from '@laburnumshift/track-fleet';
import { chooseNextOrders } from './choose-next-orders.js';
import { listOutdated } from './list-outdated.js';
import type { OutdatedEngine } from './outdated-engine.js';
import type { RollOptions } from './roll-options.js';

const PERIOD_MS = 60;
/** Pauses of hosts without the lease, milliseconds; the first is a quarter of the shortest time in which it is taken over. */
const WAITING_PERIOD_MS = 300;
const IDLE_PERIOD_MS = 1000;
/**
 * Longest time for which an engine finishes its runs without new calls before it is ordered, milliseconds: until all hosts have
 * seen its mark. Longer runs go on under the new weights, as waiting for them would cost all others the engine.
 */
const DRAIN_MS = 400;
/** A new holder looks at the marks first: those of the holder before may be on their way, milliseconds. */
const SETTLE_MS = 150;
/** Pause after a mark that the store did not take, milliseconds. */
const MARK_RETRY_MS = 300;
/** Pause between two looks at an engine that loads, milliseconds: a third of a load. */
const REPORT_MS = 150;
/** An engine that has not taken an order after this is left for another turn, milliseconds: longest run and a load. */
const ORDER_MS = 8000;
/** After an order without an answer, the engine's count of orders tells after this whether it came, milliseconds. */
const UNKNOWN_MS = 500;
/** An accepted order shows in the engine's reports after this at the latest, milliseconds. */
const ACCEPTED_MS = 1500;
/** An order is sent only while the lease holds for so long, milliseconds: the way to the engine with room. */
const MIN_LEASE_MS = 200;
/** Time beyond the lease's bound between the orders of two holders, milliseconds. */
const TURN_MARGIN_MS = 150;

/**
 * Brings engines to the newest weights while the lease is held. Each order names the orders that the engine has accepted, so
 * one that comes late is refused. An engine that another holder marked gets orders only when that holder's are past.
 *
 * @returns a function that stops the orders
 */
export function orderWeights(options: RollOptions): () => void {
  const { fleet, control, lease, markEngine, host } = options;
  const logger = createLogger('weights');
  const active = new Set<string>();
  let fencing: number | undefined;
  let heldSince = readMoment();

  const getOrderFencing = (): number | undefined => {
    const current = lease.getFencing();
    return current === fencing && lease.getRemainingMs() >= MIN_LEASE_MS ? current : undefined;
  };
  /** An engine that another holder ordered gets orders when none of that holder's can be on its way. */
  const isFreeToOrder = (mark: OrderMark | undefined): boolean =>
    mark === undefined ||
    mark.holder === host ||
    mark.stage === ORDER_STAGES.draining ||
    computeElapsedMs(heldSince) >= options.bounds.leaseMs + TURN_MARGIN_MS;
  const orderOne = async ({ engine, model, ...outdated }: OutdatedEngine): Promise<void> => {
    const started = readMoment();
    let { version } = outdated;
    const writeMark = async (stage: OrderStage): Promise<boolean> => {
      const isWritten = await markEngine(engine.id, { holder: host, model, version, stage });
      if (!isWritten) logger.warn('engine not marked', { engine: engine.id, model, version, stage });
      return isWritten;
    };
    let drained: Moment | undefined;
    let accepted: Moment | undefined;
    while (computeElapsedMs(started) < ORDER_MS && lease.getFencing() !== undefined) {
      const known = fleet.getBackend(engine.id);
      if (known?.bornMs !== engine.bornMs) return;
      const report = await control.readReport(engine);
      const current = report?.versions.get(model) ?? 0;
      // Newer weights may have been named meanwhile; an engine that was not ordered yet goes straight to them.
      if (accepted === undefined) version = fleet.getWeights(model)?.version ?? version;
      if (current >= version) {
        await writeMark(ORDER_STAGES.done);
        logger.info('engine has new weights', {
          engine: engine.id,
          model,
          version,
          ms: computeElapsedMs(started),
        });
        return;
      }
      // Reports are late, so an accepted order shows in them only after a while.
      const isPending = accepted !== undefined && computeElapsedMs(accepted) < ACCEPTED_MS;
      if (report === undefined || report.isBusy || isPending || !isFreeToOrder(known.mark)) {
        await sleep(REPORT_MS);
        continue;
      }
      if (drained === undefined) {
        if (await writeMark(ORDER_STAGES.draining)) drained = readMoment();
        await sleep(drained === undefined ? MARK_RETRY_MS : REPORT_MS);
        continue;
      }
      const runs = report.running + report.waiting;
      if (runs > 0 && computeElapsedMs(drained) < DRAIN_MS) {
        await sleep(REPORT_MS);
        continue;
      }
      // Without the mark the next holder would not know of this order.
      if (!(await writeMark(ORDER_STAGES.ordered))) {
        await sleep(MARK_RETRY_MS);
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
      await sleep(outcome === 'unknown' ? UNKNOWN_MS : REPORT_MS);
    }
    logger.warn('engine did not take its weights in time', { engine: engine.id, model, version });
  };
  const startOrder = (next: OutdatedEngine): void => {
    active.add(next.engine.id);
    orderOne(next)
      .catch((error: unknown) => {
        logger.error('ordering failed', { engine: next.engine.id, detail: String(error) });
      })
      .finally(() => {
        active.delete(next.engine.id);
      });
  };
  const runOnce = (): void => {
    const current = lease.getFencing();
    if (current !== fencing) {
      fencing = current;
      heldSince = readMoment();
    }
    if (current === undefined || computeElapsedMs(heldSince) < SETTLE_MS) return;
    const outdated = listOutdated(fleet);
    if (outdated.length === 0) return;
    const services = new Set(outdated.map(({ engine }) => engine.service));
    for (const service of services) {
      const ofService = outdated.filter(({ engine }) => engine.service === service);
      const engines = fleet.listAll().filter((engine) => engine.service === service && !engine.isDraining);
      const waiting = ofService
        .filter(({ engine }) => !active.has(engine.id))
        .map((one) => ({ ...one, isMarked: isUnderOrder(one.engine) }));
      const activeCount = engines.filter((engine) => active.has(engine.id) || isUnderOrder(engine)).length;
      for (const next of chooseNextOrders(waiting, activeCount, engines.length)) startOrder(next);
    }
  };
  const computePauseMs = (): number => {
    if (lease.getFencing() !== undefined) return PERIOD_MS;
    return listOutdated(fleet).length > 0 ? WAITING_PERIOD_MS : IDLE_PERIOD_MS;
  };
  return runEvery(computePauseMs, runOnce, (error) => {
    logger.error('rollout failed', { detail: String(error) });
  });
}
