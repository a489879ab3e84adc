//! The limits on sizes, counts and times of the whole program, computed once at startup.

use std::time::Duration;

use tulipridge_http1::Http1Limits;

/// The resources that a gateway may use, and its timeouts. The network code has no other limits than these and the
/// ones of a single HTTP/1 connection.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Limits of each HTTP/1 connection.
    pub wire: Http1Limits,
    /// File descriptors that connections of clients and to replicas may not use. Discovery, the store, the log, the
    /// runtime and the management address need them whatever the load is.
    pub reserved_descriptors: usize,
    /// The longest time to a deadline that a client may ask for; it bounds how long its request is kept.
    pub max_request_lifetime: Duration,
    /// Buffers and timeouts of forwarded streams.
    pub stream: StreamLimits,
    /// Limits on requests and assembled responses of the messages API.
    pub messages: MessagesLimits,
    /// Thresholds for ejecting a replica whose streams fail; `None`: replicas are not ejected for that.
    pub outliers: Option<OutlierLimits>,
    /// If the client leaves this shortly before an attempt's timeout, the attempt counts as timed out.
    pub timeout_slack: Duration,
    /// Limits of client connections.
    pub edge: EdgeLimits,
    /// Limits of connections to the management address.
    pub management: ManagementLimits,
    /// Limits of connections to replicas.
    pub replicas: ReplicaLimits,
    /// Limits and timeouts of calls to discovery.
    pub discovery: DiscoveryLimits,
    /// Timing of startup, shutdown and handover.
    pub lifecycle: LifecycleLimits,
    /// Limits of the log queue.
    pub log: LogLimits,
    /// Size limits and intervals of the replicated store.
    pub store: StoreLimits,
    /// Thresholds for reporting that the serving thread runs late.
    pub lag: LagLimits,
}

impl Limits {
    /// Computes the limits from the number of file descriptors, the memory in MB, and the connect and idle timeouts.
    #[must_use]
    pub fn new(sockets: usize, memory_mb: usize, connect: Duration, idle: Duration) -> Limits {
        let reserved = (sockets / 16).max(24);
        let edge_connections = (sockets.saturating_sub(reserved) * 8 / 15).max(8);
        // A third of the memory is for the kernel's socket buffers. At most two buffers of a stream's two connections
        // fill, and the kernel doubles the requested size.
        let socket_buffer = ((memory_mb << 20) / 3 / edge_connections / 4).clamp(4 << 10, 64 << 10);
        let replica_connections = (sockets.saturating_sub(reserved) * 7 / 15).max(8);
        Limits {
            wire: Http1Limits { socket_buffer, connect_timeout: connect, ..Http1Limits::default() },
            reserved_descriptors: reserved,
            max_request_lifetime: Duration::from_secs(60),
            stream: StreamLimits::new(memory_mb),
            messages: MessagesLimits::default(),
            outliers: None,
            timeout_slack: Duration::from_millis(25),
            edge: EdgeLimits::new(edge_connections, memory_mb),
            management: ManagementLimits::new(reserved),
            replicas: ReplicaLimits::new(replica_connections, idle),
            discovery: DiscoveryLimits::new(),
            lifecycle: LifecycleLimits::new(),
            log: LogLimits::new(),
            store: StoreLimits::new(),
            lag: LagLimits::new(),
        }
    }

    /// Reserves descriptors for a second process of this gateway too, while both run during a handover.
    #[must_use]
    pub fn with_overlapping_process(mut self) -> Limits {
        self.edge.connections =
            self.edge.connections.saturating_sub(self.reserved_descriptors * 8 / 15).max(8);
        self.replicas.connections =
            self.replicas.connections.saturating_sub(self.reserved_descriptors * 7 / 15).max(8);
        self
    }
}

/// Limits of client connections.
#[derive(Clone, Debug)]
pub struct EdgeLimits {
    /// Maximum number of open client connections.
    pub connections: usize,
    /// Bytes of requests buffered at once. Above it, bodies are not read until other requests have ended.
    pub buffered_bytes: usize,
    /// Bytes that are read and dropped behind a client's open request, beyond those that are buffered, before its
    /// connection is closed.
    pub flood_bytes: usize,
    /// While connection slots are scarce, a connection that has sent nothing may be evicted after this time.
    pub evict_silent_after: Duration,
    /// The same for a connection with an incomplete request, since its last data.
    pub evict_receiving_after: Duration,
    /// The same for an idle connection, since its last response.
    pub evict_idle_after: Duration,
    /// The same for a closing connection, since its last response.
    pub evict_closing_after: Duration,
    /// Maximum time for which a closing connection is still read, so that a reset doesn't overtake the response.
    pub max_closing_time: Duration,
    /// How often a listener without a free slot checks for one.
    pub slot_check_interval: Duration,
    /// A client connection without a request is closed after this time.
    pub idle_timeout: Duration,
    /// Timeout for a complete request, from the accept of the connection or the first byte of a later request.
    pub read_timeout: Duration,
    /// Timeout for writing a response that is not a stream.
    pub write_timeout: Duration,
    /// Pause after a failed accept, and between checks whether request memory is free for more of a body.
    pub accept_pause: Duration,
}

/// Limits of connections to the management address.
#[derive(Clone, Debug)]
pub struct ManagementLimits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// While slots are scarce, a connection that has sent nothing or is idle may be evicted after this time.
    pub evict_silent_after: Duration,
    /// The same for a connection with an incomplete call, since its last data.
    pub evict_receiving_after: Duration,
    /// Timeout for a complete call.
    pub read_timeout: Duration,
    /// Timeout for writing a response.
    pub write_timeout: Duration,
}

/// Limits of connections to replicas.
#[derive(Clone, Debug)]
pub struct ReplicaLimits {
    /// Maximum number of interim responses (1xx) before the final one.
    pub interim_heads: usize,
    /// Maximum number of open connections to replicas, including idle ones.
    pub connections: usize,
    /// An idle connection to a replica is closed after this time.
    pub idle_timeout: Duration,
    /// Minimum time after a response before its connection is used again.
    pub reuse_delay: Duration,
    /// How often idle connections are checked for their timeout.
    pub sweep_interval: Duration,
    /// Timeout for reading the rest of an unusable response, so that its connection can be used again.
    pub drain_timeout: Duration,
    /// Timeout from the head of a response to its first event.
    pub first_event_timeout: Duration,
    /// Idle timeout within an incomplete head or an incomplete first event.
    pub partial_head_timeout: Duration,
}

/// Limits and timeouts of calls to discovery.
#[derive(Clone, Debug)]
pub struct DiscoveryLimits {
    /// Maximum size of one object in a response of discovery, in bytes.
    pub list_bytes: usize,
    /// A watch without a line for this time counts as broken; it is still read until a new one replaces it.
    pub watch_idle_timeout: Duration,
    /// The same for an agent that pushes lists. It is shorter because calls to the local agent are cheap, and updates
    /// of the agent count as delivered even if no watch is open.
    pub agent_idle_timeout: Duration,
    /// After this time without a response, a second call to an agent is started in parallel.
    pub agent_hedge_delay: Duration,
    /// Minimum time between the starts of calls to an agent that fail.
    pub agent_retry_interval: Duration,
    /// Timeout for the head of discovery's response.
    pub response_timeout: Duration,
    /// Time after the start without a response of discovery after which the list from the configuration is used.
    pub list_fallback_delay: Duration,
}

/// Timing of startup, shutdown and handover.
#[derive(Clone, Debug)]
pub struct LifecycleLimits {
    /// How often a starting process checks whether it is ready to serve.
    pub start_check_interval: Duration,
    /// Maximum size of the message that hands over a stream, including its buffered data, in bytes.
    pub handover_bytes: usize,
    /// How often the old process checks whether its state has changed and must be reported to the new process.
    pub report_interval: Duration,
    /// After SIGTERM or a drain, requests on open client connections are accepted for this time.
    pub shutdown_grace: Duration,
}

/// Limits of the log queue.
#[derive(Clone, Debug)]
pub struct LogLimits {
    /// Maximum number of queued lines for standard error or the collector; further ones are dropped and counted.
    pub lines: usize,
    /// Maximum size of all queued lines, in bytes.
    pub bytes: usize,
    /// Maximum number of unknown event names that are remembered, so that each is logged once.
    pub unknown_event_names: usize,
    /// Timeout for flushing the queue at exit or at a panic.
    pub drain_timeout: Duration,
    /// How often the queue is checked during this flush.
    pub drain_check_interval: Duration,
}

/// Size limits and intervals of the replicated store.
#[derive(Clone, Debug)]
pub struct StoreLimits {
    /// Maximum number of keys.
    pub keys: usize,
    /// Maximum size of a key or a value, in bytes.
    pub entry_bytes: usize,
    /// Maximum size of a line between peers, in bytes: the maximum number of entries of maximum size fits.
    pub line_bytes: usize,
    /// Maximum number of connections to the store's port.
    pub peers: usize,
    /// Entries with a timestamp further ahead of the clock are rejected: no later write could replace them.
    pub max_clock_lead: Duration,
    /// Interval at which this node writes its state to the store.
    pub state_interval: Duration,
    /// Interval between two exchanges with a peer.
    pub peer_interval: Duration,
}

/// Thresholds for reporting that the serving thread runs late.
#[derive(Clone, Debug)]
pub struct LagLimits {
    /// A delay of the serving thread above this is logged.
    pub threshold: Duration,
    /// The thread counts as recovered after this time without a delay above the threshold.
    pub recovery_time: Duration,
    /// Interval at which the CPU time of the thread is read.
    pub cpu_check_interval: Duration,
}

impl EdgeLimits {
    fn new(connections: usize, memory_mb: usize) -> EdgeLimits {
        EdgeLimits {
            connections,
            // The copy of a request that is written to a replica exists only during the write.
            buffered_bytes: (memory_mb << 20) * 3 / 8,
            // A client that has left can have no more data in flight than its kernel's socket buffer: 4 MB by default
            // on Linux.
            flood_bytes: 4 << 20,
            evict_silent_after: Duration::from_millis(200),
            evict_receiving_after: Duration::from_secs(1),
            evict_idle_after: Duration::from_secs(2),
            evict_closing_after: Duration::from_millis(20),
            max_closing_time: Duration::from_secs(1),
            slot_check_interval: Duration::from_millis(50),
            idle_timeout: Duration::from_secs(4),
            // A client that sends no complete request must get an error or a close within 3 s of connecting.
            read_timeout: Duration::from_millis(2200),
            write_timeout: Duration::from_secs(10),
            accept_pause: Duration::from_millis(20),
        }
    }
}

impl ManagementLimits {
    fn new(reserved_descriptors: usize) -> ManagementLimits {
        ManagementLimits {
            connections: (reserved_descriptors - 16).min(32),
            evict_silent_after: Duration::from_millis(20),
            evict_receiving_after: Duration::from_millis(100),
            // A response is due within a second, however slowly the call arrives.
            read_timeout: Duration::from_millis(600),
            write_timeout: Duration::from_millis(200),
        }
    }
}

impl ReplicaLimits {
    fn new(connections: usize, idle: Duration) -> ReplicaLimits {
        ReplicaLimits {
            interim_heads: 16,
            connections,
            // Well below the replica's own idle timeout, so that no request is sent while the replica closes.
            idle_timeout: idle.mul_f64(0.6),
            // A replica may send a second response some milliseconds after the first; on a connection in use again,
            // it would be taken for the response to the next request.
            reuse_delay: Duration::from_millis(20),
            sweep_interval: Duration::from_millis(250),
            drain_timeout: Duration::from_millis(50),
            first_event_timeout: Duration::from_secs(4),
            partial_head_timeout: Duration::from_millis(1500),
        }
    }
}

impl DiscoveryLimits {
    fn new() -> DiscoveryLimits {
        DiscoveryLimits {
            list_bytes: 1 << 20,
            watch_idle_timeout: Duration::from_nanos(crate::list_schedule::WATCH_IDLE_TIMEOUT),
            // The agent sends an empty line every 2 s.
            agent_idle_timeout: Duration::from_millis(2300),
            // Together with the retry interval well below the time for which a drained replica may still get
            // requests.
            agent_hedge_delay: Duration::from_millis(100),
            agent_retry_interval: Duration::from_millis(50),
            response_timeout: Duration::from_millis(2500),
            list_fallback_delay: Duration::from_secs(1),
        }
    }
}

impl LifecycleLimits {
    fn new() -> LifecycleLimits {
        LifecycleLimits {
            start_check_interval: Duration::from_millis(10),
            // The buffers of both sides of a stream, and its metadata.
            handover_bytes: 160 << 10,
            report_interval: Duration::from_millis(20),
            shutdown_grace: Duration::from_millis(700),
        }
    }
}

impl LogLimits {
    fn new() -> LogLimits {
        LogLimits {
            lines: 1024,
            bytes: 256 << 10,
            unknown_event_names: 64,
            drain_timeout: Duration::from_millis(200),
            drain_check_interval: Duration::from_millis(1),
        }
    }
}

impl StoreLimits {
    fn new() -> StoreLimits {
        StoreLimits {
            keys: 256,
            entry_bytes: 2 << 10,
            line_bytes: 2 << 20,
            peers: 8,
            max_clock_lead: Duration::from_secs(60),
            state_interval: Duration::from_secs(2),
            peer_interval: Duration::from_millis(500),
        }
    }
}

impl LagLimits {
    fn new() -> LagLimits {
        LagLimits {
            threshold: Duration::from_millis(100),
            recovery_time: Duration::from_secs(1),
            cpu_check_interval: Duration::from_millis(10),
        }
    }
}

/// An idle timeout that is a multiple of a stream's longest gap.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceLimit {
    /// Multiple of the longest gap so far.
    pub factor: f64,
    /// The shortest idle timeout.
    pub min_timeout: Duration,
}

/// Buffers and timeouts of forwarded streams.
#[derive(Clone, Debug)]
pub struct StreamLimits {
    /// Buffered bytes above which the replica is not read.
    pub high_watermark: usize,
    /// Buffered bytes at or below which the replica is read again.
    pub low_watermark: usize,
    /// Memory budget of all streams, in bytes; above it, streams are evicted.
    pub budget: usize,
    /// Bytes that each stream may buffer even if the budget is used up.
    pub min_buffer: usize,
    /// A stream without data for this time between two events counts as stalled.
    pub idle_timeout: Duration,
    /// The same within an incomplete chunk or event.
    pub partial_event_timeout: Duration,
    /// The same after the dialect's last event, while the last chunk is missing.
    pub last_chunk_timeout: Duration,
    /// If set, the idle timeout adapts to the stream's longest gap; the timeouts above remain the maximum.
    pub pace: Option<PaceLimit>,
    /// Interval over which the client's read rate is measured.
    pub reader_interval: Duration,
    /// Bytes that the client must read per interval while bytes are pending.
    pub reader_min_bytes: usize,
    /// Time for which a client may read pending bytes after the replica's side has broken off.
    pub linger: Duration,
    /// Time from SIGTERM until open streams are aborted.
    pub shutdown_timeout: Duration,
    /// How long before that a stream is first offered to the successor process.
    pub handover_lead_time: Duration,
    /// Pause before a refused stream is offered again.
    pub handover_retry_interval: Duration,
    /// Interval at which stream statistics are logged; `None`: only at exit.
    pub statistics_interval: Option<Duration>,
    /// How often the gateway checks for ejections that have ended and statistics that are due.
    pub check_interval: Duration,
    /// Bytes that a stream may forward before its task yields to others.
    pub bytes_before_yield: usize,
}

impl StreamLimits {
    fn new(memory_mb: usize) -> StreamLimits {
        let high_watermark = 16 << 10;
        StreamLimits {
            high_watermark,
            low_watermark: high_watermark / 4,
            budget: (memory_mb << 20) / 8,
            min_buffer: 4 << 10,
            // A replica may stop sending without closing its connection. The client must get an end of the stream
            // within 5 s of the last event.
            idle_timeout: Duration::from_secs(4),
            partial_event_timeout: Duration::from_millis(1500),
            last_chunk_timeout: Duration::from_millis(1500),
            pace: None,
            reader_interval: Duration::from_secs(8),
            reader_min_bytes: 4 << 10,
            linger: Duration::from_secs(1),
            // A planned stop sends SIGKILL no sooner than 3.7 s after SIGTERM.
            shutdown_timeout: Duration::from_millis(3550),
            handover_lead_time: Duration::from_millis(500),
            handover_retry_interval: Duration::from_millis(20),
            statistics_interval: None,
            check_interval: Duration::from_millis(250),
            bytes_before_yield: 32 << 10,
        }
    }
}

/// Limits on requests and assembled responses of the messages API.
#[derive(Clone, Debug)]
pub struct MessagesLimits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum nesting depth of a tool's schema or input.
    pub max_json_depth: usize,
    /// Maximum number of content blocks in a request, including those within tool results and documents.
    pub blocks: usize,
    /// Maximum number of turns in a request.
    pub turns: usize,
    /// Maximum number of tools in a request.
    pub tools: usize,
    /// Maximum number of stop sequences in a request.
    pub stop_sequences: usize,
    /// Maximum size of a response that is assembled before it is sent, in bytes.
    pub assembled_bytes: usize,
    /// Maximum size of buffered tool calls that wait for an earlier one to end, in bytes.
    pub pending_tool_call_bytes: usize,
    /// Output token limit for a request without one, if the replica's dialect requires it.
    pub default_max_tokens: u64,
    /// Maximum size of a replica's error message about an invalid request, in bytes.
    pub error_message_bytes: usize,
}

impl Default for MessagesLimits {
    fn default() -> MessagesLimits {
        MessagesLimits {
            body_bytes: 256 << 10,
            max_json_depth: 64,
            blocks: 4096,
            turns: 4096,
            tools: 256,
            stop_sequences: 64,
            assembled_bytes: 256 << 10,
            pending_tool_call_bytes: 64 << 10,
            default_max_tokens: 4096,
            error_message_bytes: 4 << 10,
        }
    }
}

/// Thresholds for ejecting a replica whose streams fail.
#[derive(Clone, Debug)]
pub struct OutlierLimits {
    /// Sliding window over which ends of streams are counted.
    pub window: Duration,
    /// Maximum number of ends that are kept for each replica.
    pub max_ends: usize,
    /// Minimum number of failures within the window for an ejection.
    pub min_failures: usize,
    /// Minimum failure rate for an ejection, 0 to 1.
    pub min_failure_rate: f64,
    /// Minimum ratio of the failure rate to that of the other replicas.
    pub ratio_to_others: f64,
    /// Duration of the first ejection.
    pub ejection_time: Duration,
    /// Maximum duration of an ejection. An ejection soon after another one lasts twice as long as that one.
    pub max_ejection_time: Duration,
    /// Maximum share of the ready replicas that may be ejected, 0 to 1.
    pub max_ejected_share: f64,
}

impl Default for OutlierLimits {
    fn default() -> OutlierLimits {
        OutlierLimits {
            window: Duration::from_secs(30),
            max_ends: 64,
            min_failures: 3,
            min_failure_rate: 0.3,
            ratio_to_others: 3.0,
            ejection_time: Duration::from_secs(5),
            max_ejection_time: Duration::from_secs(60),
            max_ejected_share: 0.2,
        }
    }
}
