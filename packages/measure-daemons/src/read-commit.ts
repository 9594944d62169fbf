import { execFileSync } from 'node:child_process';

/** Reads the commit of the measured code; says so when source files of the checkout have changes. */
export function readCommit(): string {
  try {
    const head = execFileSync('git', ['rev-parse', '--short', 'HEAD'], { encoding: 'utf8' }).trim();
    const arguments_ = ['status', '--porcelain', '--untracked-files=no', '--', 'packages', 'examples'];
    const changes = execFileSync('git', arguments_, { encoding: 'utf8' });
    return changes === '' ? head : `${head}, with uncommitted changes`;
  } catch {
    return 'unknown';
  }
}
