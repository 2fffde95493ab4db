import { expect } from '../../../test/support/snapshot.js';
import { toId } from '../../ids.js';
import type { ServiceId } from '../../ids.js';
import { RouteTable } from './routeTable.js';
import type { Route, RoutingConfiguration } from './types.js';

const createRoute = (name: string, host: string, prefix: string): Route => ({
  name,
  host,
  prefix,
  kind: 'repeatable',
  timeoutMs: 1000,
  latencyTargetMs: 100,
  eventGapTargetMs: 0,
  priority: 0,
  shares: [{ service: toId<ServiceId>('s'), weight: 1 }],
  maxAttempts: 1,
  isPublic: false,
  isResumable: false,
});

describe('route table', () => {
  it('guards against a shorter prefix or another host taking a request', () => {
    const configuration: RoutingConfiguration = {
      version: 1,
      routes: [
        createRoute('short', 'a.example', '/x/'),
        createRoute('long', 'a.example', '/x/y/'),
        createRoute('other', 'b.example', '/x/'),
      ],
      services: new Map(),
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    };
    const table = new RouteTable(configuration);
    const asked: [string, string][] = [
      ['a.example', '/x/1'],
      ['a.example', '/x/y/1'],
      ['a.example:8080', '/x/y/1?q=/z/'],
      ['A.example', '/x/1'],
      ['b.example', '/x/y/1'],
      ['a.example', '/x'],
      ['a.example', '/?/x/'],
      ['c.example', '/x/1'],
    ];
    const found = asked.map(
      ([host, url]) => `${host}${url} -> ${table.findRoute(host, url)?.name ?? 'none'}`,
    );
    expect(found).toMatchSnapshot();
  });
});
