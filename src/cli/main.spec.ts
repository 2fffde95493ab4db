import { EventEmitter } from 'node:events';
import { expect } from 'chai';
import { createLogger } from '../process/logging.js';
import { startOperatorServer } from '../process/operatorServer.js';
import type { Daemon } from '../process/types.js';
import { runCli } from './main.js';
import { runDaemon } from './runDaemon.js';
import type { CliOutput } from './types.js';

function createOutput(): CliOutput & { lines: string[]; errors: string[] } {
  const lines: string[] = [];
  const errors: string[] = [];
  return {
    lines,
    errors,
    print: (line) => lines.push(line),
    printError: (line) => errors.push(line),
  };
}

describe('runCli', () => {
  it('guards against an exit code of 0 for wrong usage or invalid settings', async () => {
    const output = createOutput();
    expect(await runCli([], output)).to.equal(2);
    expect(await runCli(['dump'], output)).to.equal(2);
    expect(await runCli(['no-such-command'], output)).to.equal(2);
    expect(await runCli(['entry', '--settings', 'no-such.ini', '--check'], output)).to.equal(2);
    expect(output.errors.join('\n')).to.include('no-such.ini');
    expect(await runCli(['--help'], output)).to.equal(0);
  });

  it('guards against an exit code of 0 after a failed read', async () => {
    const output = createOutput();
    expect(await runCli(['dump', '127.0.0.1:1'], output)).to.equal(1);
    expect(await runCli(['dump', '127.0.0.1:1', '--cert', 'a.pem'], output)).to.equal(1);
    expect(output.errors[1]).to.include('--cert, --key and --ca');
  });

  it('reads an operator port and forwards the query of explain', async () => {
    const operators = await startOperatorServer({
      host: '127.0.0.1',
      port: 0,
      routes: {
        '/dump': () => ({ ready: true, agents: { count: 2 } }),
        '/explain': (query) => ({ chosen: query.get('service'), prefix: query.get('prefix') }),
      },
    });
    const address = `127.0.0.1:${operators.port}`;
    const output = createOutput();
    expect(await runCli(['dump', address], output)).to.equal(0);
    expect(await runCli(['dump', address, '--json'], output)).to.equal(0);
    const explain = ['explain', address, '--service', 'relief', '--prefix', 'a b', '--json'];
    expect(await runCli(explain, output)).to.equal(0);
    operators.close();
    expect(output.lines).to.deep.equal([
      'ready: true\nagents:\n  count: 2',
      '{"ready":true,"agents":{"count":2}}',
      '{"chosen":"relief","prefix":"a b"}',
    ]);
  });
});

describe('runDaemon', () => {
  const createDaemon = (calls: string[], drain: Promise<void>): Daemon => ({
    linkPort: 1,
    operatorPort: 2,
    createHello: () => expect.fail('createHello must not be called'),
    dump: () => ({ requests: 1 }),
    drain: () => {
      calls.push('drain');
      return drain;
    },
    stop: () => {
      calls.push('stop');
      return Promise.resolve();
    },
  });

  it('guards against aborting requests on the first signal', async () => {
    const calls: string[] = [];
    const signals = new EventEmitter();
    const output = createOutput();
    const daemon = createDaemon(calls, Promise.resolve());
    const ended = runDaemon(daemon, createLogger('test'), output, signals);
    signals.emit('SIGTERM');
    expect(await ended).to.equal(0);
    expect(calls).to.deep.equal(['drain', 'stop']);
    expect(output.lines).to.deep.equal(['{"ready":true,"linkPort":1,"operatorPort":2}']);
  });

  it('guards against a shutdown that a second signal does not end, and against its exit code being 0', async () => {
    const calls: string[] = [];
    const signals = new EventEmitter();
    const daemon = createDaemon(calls, new Promise(() => undefined));
    const ended = runDaemon(daemon, createLogger('test'), createOutput(), signals);
    signals.emit('SIGTERM');
    signals.emit('SIGINT');
    expect(await ended).to.equal(1);
    expect(calls).to.deep.equal(['drain', 'stop']);
  });
});
