import { setTimeout } from 'node:timers';

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

const EVENT_MS = 60;
/** Time that a copy of the memory of a run takes. */
const COPY_MS = 40;

/**
 * Lets engines run streams whose memory can be moved to another engine by `/kv-move` and used there by `Kv-From`. The memory of a run
 * remembers under which versions it was made. `onContinue` is called when a run goes on from a copy.
 */
export function addMoves(engines, { events, record, onContinue }) {
  const byAddress = () => new Map(engines.map((engine) => [engine.address, engine]));
  for (const engine of engines) {
    engine.copies = new Map();
    engine.serve = async (request, body, response) => {
      const id = request.headers['attempt-id'];
      const from = request.headers['kv-from'];
      const copy = from === undefined ? undefined : engine.copies.get(from);
      if (from !== undefined && copy === undefined) {
        response.writeHead(503, {
          'Attempt-Id': id,
          'Not-Executed': '1',
          'Content-Length': 0,
          ...engine.listNotices(),
        });
        response.end();
        return;
      }
      engine.copies.delete(from);
      const run = {
        id,
        events: Number(request.headers['last-event-id'] ?? 0),
        versions: new Set(copy?.versions ?? [engine.version]),
        isStopped: false,
      };
      record(
        `${id} begins at ${engine.id} (version ${engine.version})${copy === undefined ? '' : ` from memory made under ${[...copy.versions].join(' and ')}, after event ${run.events}`}`,
      );
      if (copy !== undefined) onContinue(id, engine, copy);
      run.versions.add(engine.version);
      engine.runs.push(id);
      engine.running.set(id, run);
      const finish = () => {
        run.isStopped = true;
        if (engine.running.get(id) === run) engine.running.delete(id);
      };
      response.on('close', finish);
      response.writeHead(200, {
        'Content-Type': 'text/event-stream',
        'Attempt-Id': id,
        'Response-Seal': `seal-${id}`,
        'Weight-Versions': String(engine.version),
        ...engine.listNotices(),
      });
      run.end = () => {
        finish();
        response.destroy();
      };
      let version = engine.version;
      while (!run.isStopped && run.events < events) {
        await sleep(EVENT_MS);
        if (run.isStopped || engine.isLoading) continue;
        run.events += 1;
        const isNew = engine.version !== version;
        version = engine.version;
        run.versions.add(version);
        response.write(`${isNew ? `weight-versions: ${version}\n` : ''}id: ${run.events}\ndata: a\n\n`);
      }
      if (run.isStopped) return;
      response.end();
    };
    engine.handleControl = (request, url, body, response) => {
      if (url.pathname.startsWith('/kv-handle/')) {
        for (const holder of engines)
          holder.copies.delete(`${engine.address}/${decodeURIComponent(url.pathname.slice(11))}`);
        engine.sendJson(response, 200, {});
        return true;
      }
      if (url.pathname !== '/kv-move') return false;
      const { id, target, last } = JSON.parse(body.toString());
      const run = engine.running.get(id);
      const holder = byAddress().get(target);
      if (run === undefined) {
        engine.sendJson(response, 404, {});
        return true;
      }
      if (holder === undefined) {
        engine.sendJson(response, 503, {});
        return true;
      }
      if (last) run.isStopped = true;
      setTimeout(() => {
        const handle = `move-${id}`;
        holder.copies.set(`${engine.address}/${handle}`, {
          versions: new Set(run.versions),
          events: run.events,
        });
        record(
          `${id}: ${engine.id} copies its memory to ${holder.id}${last ? ' and stops it' : ''}; made under ${[...run.versions].join(' and ')}`,
        );
        engine.sendJson(response, 200, { handle, created: run.events });
        if (last) run.end();
      }, COPY_MS);
      return true;
    };
  }
}
