import { expect } from 'chai';
import fc from 'fast-check';
import { parseSettings, readSettings } from './readSettings.js';

const entryText = `
[process]
id = entry-1
host = host-1
availability_zone = ikeja
[links]
listen_host = 127.0.0.1
port = 0
seeds = 127.0.0.1:7001, 127.0.0.1:7002
[http]
port = 8080
operator_port = 0
[platform]
url = http://127.0.0.1:9000/
[log]
level = warn
[tls]
plain = true
[limits]
drain = 2s
max_body = 64KB
max_connections = 300
max_held = 2MB
`;
const agentText = entryText
  .replace('port = 8080\n', '')
  .replace('max_body = 64KB\nmax_connections = 300\nmax_held = 2MB\n', '')
  .concat('[upstream]\nid = u1\nservice = relief\nurl = http://127.0.0.1:1\nslots = 4\n');
const listKeys = (text: string): string[] => {
  const settings = parseSettings(text, 'entry');
  return settings.isErr() ? settings.error.map(({ key }) => key) : [];
};

describe('readSettings', () => {
  it('guards against values that are converted with the wrong unit or dropped', () => {
    expect(parseSettings(entryText, 'entry').unwrap()).to.deep.equal({
      logLevel: 'warn',
      options: {
        processId: 'entry-1',
        host: 'host-1',
        availabilityZone: 'ikeja',
        listenHost: '127.0.0.1',
        linkPort: 0,
        operatorPort: 0,
        platformUrl: 'http://127.0.0.1:9000',
        seeds: ['127.0.0.1:7001', '127.0.0.1:7002'],
        tls: undefined,
        drainLimitMs: 2000,
        httpPort: 8080,
        linksPerService: 24,
        maxBodyBytes: 65536,
        callerLimits: {
          maxConnections: 300,
          maxRequestsPerConnection: 8,
          maxPipelinedRequests: 1_000,
          maxHeldBytes: 2 * 1024 * 1024,
        },
        routingPolicy: 'affinity',
      },
    });
    const agent = parseSettings(agentText, 'agent').unwrap().options;
    expect(agent).to.include({ upstream: 'u1', service: 'relief', slots: 4, drainLimitMs: 2000 });
    expect(agent).to.include({ orderSlotTtlMs: 120_000, orderMemoryMarginMs: 60_000 });
    const limits = 'drain = 2s\norder_slot_ttl = 5s\norder_memory_margin = 1m';
    const short = parseSettings(agentText.replace('drain = 2s', limits), 'agent').unwrap().options;
    expect(short).to.include({ orderSlotTtlMs: 5_000, orderMemoryMarginMs: 60_000 });
  });

  it('guards against invalid settings that are accepted or reported without their key', () => {
    expect({
      fine: listKeys(entryText),
      unit: listKeys(entryText.replace('2s', '2')),
      sizeUnit: listKeys(entryText.replace('64KB', '64 kilo')),
      unknownKey: listKeys(entryText.replace('drain', 'drian')),
      unknownSection: listKeys(`${entryText}[upstream]\nid = u1\n`),
      topLevel: listKeys(`id = 1\n${entryText}`),
      missingSection: listKeys(entryText.replace('[tls]\nplain = true\n', '')),
      missingKey: listKeys(entryText.replace('host = host-1\n', '')),
      port: listKeys(entryText.replace('8080', '80800')),
      level: listKeys(entryText.replace('warn', 'loud')),
      plainListen: listKeys(entryText.replace('listen_host = 127.0.0.1', 'listen_host = 0.0.0.0')),
      plainSeed: listKeys(entryText.replace('127.0.0.1:7002', '10.0.0.1:7002')),
      noCertificates: listKeys(entryText.replace('plain = true', '')),
    }).to.deep.equal({
      fine: [],
      unit: ['limits.drain'],
      sizeUnit: ['limits.max_body'],
      unknownKey: ['limits.drian'],
      unknownSection: ['upstream'],
      topLevel: ['id'],
      missingSection: ['tls'],
      missingKey: ['process.host'],
      port: ['http.port'],
      level: ['log.level'],
      plainListen: ['tls.plain'],
      plainSeed: ['tls.plain'],
      noCertificates: ['tls.cert', 'tls.key', 'tls.ca'],
    });
    const unreadable = readSettings('no-such-file.ini', 'entry');
    expect(unreadable.isErr() && unreadable.error[0]?.file).to.equal('no-such-file.ini');
  });

  it('guards against a crash of the parser on malformed input', () => {
    const line = fc.oneof(fc.string(), fc.constantFrom(...entryText.split('\n'), '[a.b]', 'x[]=1'));
    fc.assert(
      fc.property(fc.array(line, { maxLength: 30 }), fc.boolean(), (lines, isEntry) => {
        parseSettings(lines.join('\n'), isEntry ? 'entry' : 'agent');
      }),
      { seed: 4, numRuns: 500 },
    );
  });
});
