import { Cli } from 'clipanion';
import { HistoriesCommand } from './histories-command.js';

const cli = new Cli({ binaryName: 'histories', binaryLabel: 'laburnumshift histories' });
cli.register(HistoriesCommand);
process.exitCode = await cli.run(process.argv.slice(2));
// Connections that a fault has made silent may keep the process alive.
process.exit();
