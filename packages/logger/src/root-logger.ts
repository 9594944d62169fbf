import bunyan from 'bunyan';
import { createLineSink } from './create-line-sink.js';

const STDOUT = 1;
const sink = createLineSink(STDOUT);
process.on('exit', sink.flush);

/** Root logger of this process, the parent of all component loggers. Writes to standard output without blocking. */
export const ROOT_LOGGER = bunyan.createLogger({
  name: 'laburnumshift',
  level: 'warn',
  stream: sink as unknown as NodeJS.WritableStream,
});
