//! TCP proxy in front of a minion, which can cut the minion off with resets.

use std::{
    io::{self, Read, Write},
    net,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Time for which a connection that is opened during a cut may send before it is reset.
const RESET_AFTER: Duration = Duration::from_millis(200);

/// Whether the minion is cut off, and the connections that a cut resets.
#[derive(Clone, Default)]
pub struct Switch {
    is_cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<net::TcpStream>>>,
}

impl Switch {
    /// Cuts the minion off: all connections are reset, and so is each new one.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in open.drain(..) {
            let _ = stream.shutdown(net::Shutdown::Both);
        }
    }

    pub fn heal(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }

    fn keep(&self, stream: &net::TcpStream) -> io::Result<()> {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.push(stream.try_clone()?);
        Ok(())
    }
}

/// Forwards the connections of `listener` to `to` until the process ends.
pub fn serve(listener: &net::TcpListener, to: net::SocketAddr, switch: &Switch) {
    for client in listener.incoming().flatten() {
        let switch = switch.clone();
        thread::spawn(move || drop(forward(&client, to, &switch)));
    }
}

fn forward(client: &net::TcpStream, to: net::SocketAddr, switch: &Switch) -> io::Result<()> {
    if switch.is_cut.load(Ordering::SeqCst) {
        // A socket that is closed with unread bytes resets its connection.
        client.set_read_timeout(Some(RESET_AFTER))?;
        client.peek(&mut [0])?;
        return Ok(());
    }
    let server = net::TcpStream::connect(to)?;
    for stream in [client, &server] {
        stream.set_nodelay(true)?;
        switch.keep(stream)?;
    }
    let (from, back) = (server.try_clone()?, client.try_clone()?);
    thread::spawn(move || copy(&from, &back));
    copy(client, &server);
    Ok(())
}

/// Copies bytes until one side ends, and then closes both.
fn copy(mut from: &net::TcpStream, mut to: &net::TcpStream) {
    let mut buf = [0; 16 << 10];
    while let Ok(n) = from.read(&mut buf) {
        if n == 0 || to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    for stream in [from, to] {
        let _ = stream.shutdown(net::Shutdown::Both);
    }
}
