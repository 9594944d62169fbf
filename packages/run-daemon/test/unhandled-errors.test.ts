import { execFile } from 'node:child_process';
import { promisify } from 'node:util';
import test from 'ava';

const MODULES = ['run-daemon', 'logger'].map(
  (name) => new URL(`../../../${name}/dist/src/index.js`, import.meta.url).href,
);

for (const [kind, fault] of [
  ['uncaughtException', "setTimeout(() => { throw new Error('injected fault'); }, 10)"],
  ['unhandledRejection', "setTimeout(() => { void Promise.reject(new Error('injected fault')); }, 10)"],
] as const)
  for (const state of ['start', 'stop'] as const)
    test(`guards against a daemon that an ${kind} ends during its ${state}`, async (t) => {
      const program = `
        import { holdSignals, runDaemon } from '${MODULES[0] ?? ''}';
        import { createLogger } from '${MODULES[1] ?? ''}';
        const wait = (name) => new Promise((resolve) => {
          if (name === '${state}') ${fault};
          setTimeout(resolve, 200);
        });
        const start = async () => {
          await wait('start');
          setTimeout(() => process.kill(process.pid, 'SIGTERM'), 10);
          return { stop: () => wait('stop') };
        };
        // Signal handlers alone do not keep a process running.
        setInterval(() => undefined, 1000);
        await runDaemon({ signals: holdSignals(), logger: createLogger('test'), start });
        process.exit(0);`;
      // Rejects when the process does not exit with 0.
      const { stdout } = await promisify(execFile)(process.execPath, ['--input-type=module', '-e', program]);
      t.regex(stdout, new RegExp(`"kind":"${kind}".*injected fault`));
    });
