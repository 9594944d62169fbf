import { Cli } from 'clipanion';
import { CapacityCommand } from './capacity-command.js';

const cli = new Cli({ binaryName: 'capacity', binaryLabel: 'laburnumshift capacity' });
cli.register(CapacityCommand);
// Timers of the measured parts would keep the process alive.
process.exit(await cli.run(process.argv.slice(2)));
