import { connect } from 'node:net';
import type { handleUnaryCall } from '@grpc/grpc-js';
import type { proto } from '@jujubecroft/operator';
import type { proto as peers } from '@jujubecroft/operator/peers';
import {
  fromHeartbeatMessage,
  toHeartbeatMessage,
} from '@jujubecroft/operator';

import type { InstanceContext } from '../InstanceContext.js';
import { toGrpcError } from './toGrpcError.js';

const PROBE_TIMEOUT_MS = 700;

/**
 * Checks whether an instance accepts TCP connections on its control address.
 */
function isReachable(address: string): Promise<boolean> {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon);
  const port = Number(address.slice(colon + 1));
  return new Promise(resolve => {
    const socket = connect({ host, port, timeout: PROBE_TIMEOUT_MS });
    const finish = (reachable: boolean): void => {
      socket.destroy();
      resolve(reachable);
    };
    socket.once('connect', () => {
      finish(true);
    });
    socket.once('timeout', () => {
      finish(false);
    });
    socket.once('error', () => {
      finish(false);
    });
  });
}

/**
 * Creates the handlers of the peer service, which instances call on each other.
 *
 * @param context - context of the instance
 * @returns the handlers
 */
export function createPeerHandlers(context: InstanceContext): proto.PeerServer {
  const { host, membership } = context;

  const heartbeat: handleUnaryCall<
    peers.HeartbeatMessage,
    peers.HeartbeatMessage
  > = (call, callback) => {
    membership.onMessage(fromHeartbeatMessage(call.request));
    const reply = membership.message({
      revision: host.configuration.revision,
      inFlight: host.inFlight,
    });
    callback(null, toHeartbeatMessage(reply));
  };

  const probeFor: handleUnaryCall<proto.ProbeRequest, proto.ProbeReply> = (
    call,
    callback,
  ) => {
    isReachable(call.request.peerAddress).then(
      reachable => {
        callback(null, { reachable });
      },
      (err: unknown) => {
        callback(toGrpcError(err));
      },
    );
  };

  const configuration: handleUnaryCall<
    proto.ConfigurationRequest,
    proto.ConfigurationReply
  > = (call, callback) => {
    const cfg = host.configuration;
    const isNewer = cfg.revision > call.request.afterRevision;
    callback(null, {
      revision: cfg.revision,
      configurationJson: isNewer ? JSON.stringify(cfg) : '',
    });
  };

  const reportDemand: handleUnaryCall<proto.DemandReport, proto.ShareReply> = (
    call,
    callback,
  ) => {
    callback(null, { shares: context.shares.onReport(call.request) });
  };

  const recordClaim: handleUnaryCall<proto.ClaimWrite, proto.ClaimReply> = (
    call,
    callback,
  ) => {
    const { key, valueJson, ifAbsent } = call.request;
    context.batcher
      .write({
        key,
        value: JSON.parse(valueJson) as unknown,
        ...(ifAbsent ? { ifVersion: 0 } : {}),
      })
      .then(
        outcome => {
          const written = outcome === undefined;
          const conflictJson = written ? '' : JSON.stringify(outcome);
          callback(null, { written, conflictJson });
        },
        (err: unknown) => {
          callback(toGrpcError(err));
        },
      );
  };

  return { heartbeat, probeFor, reportDemand, recordClaim, configuration };
}
